package resumption

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// startsRecord is the JSON form of a batch of starts in the log.
type startsRecord struct {
	Starts []versionStarts
}

// versionStarts lists the streams that began at one version of a service's targets.
type versionStarts struct {
	Service chestnutroad.ServiceID
	Version chestnutroad.SoftwareVersion
	// Streams holds the ids of the streams, each in eight bytes, big-endian.
	Streams []byte
}

const streamIDBytes = 8

// EncodeStarts encodes starts as a record of the log.
func EncodeStarts(starts []Start) ([]byte, error) {
	var record startsRecord
	index := map[Start]int{}
	for _, start := range starts {
		group := Start{Service: start.Service, Version: start.Version}
		if _, found := index[group]; !found {
			index[group] = len(record.Starts)
			record.Starts = append(record.Starts, versionStarts{Service: start.Service, Version: start.Version})
		}
		list := &record.Starts[index[group]]
		list.Streams = binary.BigEndian.AppendUint64(list.Streams, uint64(start.Stream))
	}
	data, err := json.Marshal(record)
	return data, errors.Wrap(err, "encode starts of streams")
}

// DecodeStarts decodes a record of the log.
func DecodeStarts(data []byte) ([]Start, error) {
	var record startsRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.Wrap(err, "decode starts of streams")
	}
	var starts []Start
	for _, list := range record.Starts {
		if len(list.Streams)%streamIDBytes != 0 {
			return nil, errors.Newf("decode starts of streams: %d bytes are no list of ids", len(list.Streams))
		}
		for rest := list.Streams; len(rest) > 0; rest = rest[streamIDBytes:] {
			starts = append(starts, Start{
				Service: list.Service, Version: list.Version, Stream: StreamID(binary.BigEndian.Uint64(rest)),
			})
		}
	}
	return starts, nil
}
