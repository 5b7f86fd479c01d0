package siblings

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// evidenceSize is the size of an encoded item of evidence in bytes.
const evidenceSize = 16

// encodeEvidence returns the part hash (8 bytes), the crash id (4 bytes) and the age in milliseconds (4 bytes) of each item, in
// big-endian order.
func encodeEvidence(items []chestnutroad.CrashEvidence) []byte {
	data := make([]byte, 0, evidenceSize*len(items))
	for _, item := range items {
		age := min(max(0, item.Age.Milliseconds()), math.MaxUint32)
		data = binary.BigEndian.AppendUint64(data, uint64(item.Subject))
		data = binary.BigEndian.AppendUint32(data, uint32(item.Crash))
		data = binary.BigEndian.AppendUint32(data, uint32(age))
	}
	return data
}

// decodeEvidence returns the encoded evidence and ignores an incomplete item at the end.
func decodeEvidence(data []byte) []chestnutroad.CrashEvidence {
	var items []chestnutroad.CrashEvidence
	for ; len(data) >= evidenceSize; data = data[evidenceSize:] {
		items = append(items, chestnutroad.CrashEvidence{
			Subject: chestnutroad.SubjectHash(binary.BigEndian.Uint64(data)),
			Crash:   chestnutroad.CrashID(binary.BigEndian.Uint32(data[8:])),
			Age:     time.Duration(binary.BigEndian.Uint32(data[12:])) * time.Millisecond,
		})
	}
	return items
}
