package siblings

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// ageSize is the size of an encoded age in bytes, ageUnit its unit. Ages above 65 s are capped: they are too old for any use.
	ageSize = 2
	ageUnit = time.Millisecond
)

// encodeAges returns the ages of the configuration and of the targets, or nil when both are zero.
func encodeAges(configuration, targets time.Duration) []byte {
	if configuration <= 0 && targets <= 0 {
		return nil
	}
	data := make([]byte, 0, 2*ageSize)
	for _, age := range []time.Duration{configuration, targets} {
		units := (max(0, age) + ageUnit - 1) / ageUnit
		data = binary.BigEndian.AppendUint16(data, uint16(min(math.MaxUint16, units)))
	}
	return data
}

// decodeAges returns the encoded ages. They are zero in a message of an earlier version, which states none, so that its hosts are
// relied on as before.
func decodeAges(data []byte) (configuration, targets time.Duration) {
	if len(data) != 2*ageSize {
		return 0, 0
	}
	return time.Duration(binary.BigEndian.Uint16(data)) * ageUnit,
		time.Duration(binary.BigEndian.Uint16(data[ageSize:])) * ageUnit
}
