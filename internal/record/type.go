package record

import (
	"bytes"
	"encoding/json"
)

// Type names the format of a log record.
type Type string

// The formats of whole log records.
const (
	TypeOrders         Type = "Orders"
	TypeOrderSnapshot  Type = "OrderSnapshot"
	TypeConfig         Type = "Config"
	TypeConfigSnapshot Type = "ConfigSnapshot"
)

// MaxSize is the size in bytes that one log record stays under.
const MaxSize = 256 << 10

var typePrefix = []byte(`{"Type":"`)

// TypeOf returns the format of a record, or an empty one when the data is no record of ours.
func TypeOf(data []byte) Type {
	if rest, found := bytes.CutPrefix(data, typePrefix); found {
		if end := bytes.IndexByte(rest, '"'); end >= 0 {
			return Type(rest[:end])
		}
	}
	var head struct{ Type Type }
	if err := json.Unmarshal(data, &head); err != nil {
		return ""
	}
	return head.Type
}
