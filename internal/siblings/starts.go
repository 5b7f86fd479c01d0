package siblings

import (
	"encoding/binary"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

// streamIDSize is the size of an encoded id of a stream in bytes.
const streamIDSize = 8

// encodeStarts returns the starts grouped by service and version. A group is the service, the version and the number of its streams,
// followed by their ids (8 bytes each, big-endian); each text has its length before it, and lengths and numbers are varints.
func encodeStarts(starts []resumption.Start) []byte {
	var order []resumption.Start
	groups := map[resumption.Start][]resumption.StreamID{}
	for _, start := range starts {
		group := resumption.Start{Service: start.Service, Version: start.Version}
		if _, found := groups[group]; !found {
			order = append(order, group)
		}
		groups[group] = append(groups[group], start.Stream)
	}
	var data []byte
	for _, group := range order {
		data = appendText(data, string(group.Service))
		data = appendText(data, string(group.Version))
		data = binary.AppendUvarint(data, uint64(len(groups[group])))
		for _, id := range groups[group] {
			data = binary.BigEndian.AppendUint64(data, uint64(id))
		}
	}
	return data
}

func appendText(data []byte, text string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(text))), text...)
}

// decodeStarts returns the encoded starts and ignores an incomplete group at the end.
func decodeStarts(data []byte) []resumption.Start {
	var starts []resumption.Start
	for len(data) > 0 {
		service, rest, serviceFound := cutText(data)
		version, rest, versionFound := cutText(rest)
		count, size := binary.Uvarint(rest)
		if !serviceFound || !versionFound || size <= 0 || count > uint64(len(rest)-size)/streamIDSize {
			return starts
		}
		data = rest[size:]
		for range count {
			starts = append(starts, resumption.Start{
				Service: chestnutroad.ServiceID(service), Version: chestnutroad.SoftwareVersion(version),
				Stream: resumption.StreamID(binary.BigEndian.Uint64(data)),
			})
			data = data[streamIDSize:]
		}
	}
	return starts
}

// cutText returns the text at the start of the data and the data after it.
func cutText(data []byte) (text string, rest []byte, found bool) {
	length, size := binary.Uvarint(data)
	if size <= 0 || length > uint64(len(data)-size) {
		return "", nil, false
	}
	data = data[size:]
	return string(data[:length]), data[length:], true
}
