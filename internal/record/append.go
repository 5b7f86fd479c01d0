package record

// AppendOutcome is the result of an append to the log as far as the caller can know it.
type AppendOutcome int

// The outcomes of an append.
const (
	// AppendOK means that the log added the record and returned its offset.
	AppendOK AppendOutcome = iota
	// AppendFailed means that the record was definitely not added.
	AppendFailed
	// AppendUnknown means that the record may have been added or may still be added later.
	AppendUnknown
)
