package chestnutroad

// EvacuationRecord is a record of the operators' stream that evacuates a data centre, or ends its evacuation.
type EvacuationRecord struct {
	DataCentre DataCentreID
	Evacuated  bool
}

// EvacuationList is the list of the evacuated data centres as of a position of the operators' stream.
type EvacuationList struct {
	// Position is the end of the records that the list reflects.
	Position Position
	// DataCentres are those with a record, sorted.
	DataCentres []DataCentreID `json:",omitempty"`
	// Ending are those whose record is missing since the store was restored from an older copy. They stay evacuated for a time in
	// which the operator may write the record again.
	Ending []DataCentreID `json:",omitempty"`
}
