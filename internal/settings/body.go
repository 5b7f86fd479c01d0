package settings

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// body is the form in which files travel in a configuration record.
type body struct {
	Files []File
}

// MarshalBody returns the files, the base first, as the body of a configuration record.
func MarshalBody(files []File) ([]byte, error) {
	return json.Marshal(body{Files: files})
}

// ParseBody checks and merges the files in the body of a configuration record; faults come back as Errors.
func ParseBody(data []byte) (*Settings, error) {
	var bd body
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&bd); err != nil {
		return nil, errors.Wrap(err, "the body is not a list of settings files")
	}
	return Parse(bd.Files...)
}
