package record

// AppendOutcome says what is known of an append.
type AppendOutcome int

// The outcomes of an append.
const (
	// AppendOK means that the log answered with an offset.
	AppendOK AppendOutcome = iota
	// AppendFailed means that the record was certainly not added.
	AppendFailed
	// AppendUnknown means that the record may have been added or may still be.
	AppendUnknown
)
