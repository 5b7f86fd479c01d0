package settings

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// body is the JSON form of settings files in a configuration record.
type body struct {
	Files []File
}

// MarshalBody encodes the files, the base file first, as the body of a configuration record.
func MarshalBody(files []File) ([]byte, error) {
	return json.Marshal(body{Files: files})
}

// ParseBody parses the files in the body of a configuration record. Errors in the files are returned as Errors.
func ParseBody(data []byte) (*Settings, error) {
	var bd body
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&bd); err != nil {
		return nil, errors.Wrap(err, "decode the settings files of a configuration record")
	}
	return Parse(bd.Files...)
}
