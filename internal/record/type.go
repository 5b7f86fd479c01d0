package record

import (
	"bytes"
	"encoding/json"
)

// Type identifies the format of a log record.
type Type string

// The types of the records in the log.
const (
	TypeOrders         Type = "Orders"
	TypeOrderSnapshot  Type = "OrderSnapshot"
	TypeConfig         Type = "Config"
	TypeConfigSnapshot Type = "ConfigSnapshot"
)

// MaxSize is the limit in bytes that each log record must stay below.
const MaxSize = 256 << 10

var typePrefix = []byte(`{"Type":"`)

// TypeOf returns the type of a record, or an empty type when the data has none. A leading Type field is found without parsing
// the JSON.
func TypeOf(data []byte) Type {
	if rest, found := bytes.CutPrefix(data, typePrefix); found {
		if end := bytes.IndexByte(rest, '"'); end >= 0 {
			return Type(rest[:end])
		}
	}
	var header struct{ Type Type }
	if err := json.Unmarshal(data, &header); err != nil {
		return ""
	}
	return header.Type
}
