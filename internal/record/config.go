package record

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// PublishID identifies one attempt to publish a configuration.
type PublishID string

// Config is a log record that proposes a configuration.
type Config struct {
	Type      Type
	PublishID PublishID
	// Parent is the version that the publisher saw in force.
	Parent  chestnutroad.Version
	Version chestnutroad.Version
	Body    []byte
}

// EncodeConfig returns the log record for a proposed configuration.
func EncodeConfig(config Config) []byte {
	config.Type = TypeConfig
	data, err := json.Marshal(config)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode configuration %s", config.PublishID))
	}
	return data
}

// DecodeConfig returns the configuration that a Config record proposes.
func DecodeConfig(data []byte) (Config, error) {
	var config Config
	if err := json.Unmarshal(data, &config); err != nil {
		return Config{}, errors.Wrap(err, "decode configuration record")
	}
	return config, nil
}
