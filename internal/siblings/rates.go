package siblings

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// rateHashSize is the size of the target hash of an encoded rate in bytes, and rateFieldCount the number of the unsigned
	// variable-length integers that follow: the limit, the age, the requests sent and those wanted by class.
	rateHashSize   = 4
	rateFieldCount = 3 + chestnutroad.RateClasses
	// limitSteps is the number of codes of a limit for each doubling; code zero stands for no limit, limitOffset for one a second.
	limitSteps  = 64
	limitOffset = 20 * limitSteps
	// rateAgeUnit is the unit of the age, and countUnit that of the counts.
	rateAgeUnit = 10 * time.Millisecond
	countUnit   = 1.0 / 16
	// maxRateField bounds the integers that a message may state.
	maxRateField = 1 << 24
)

// encodeRates returns the rates in sequence, about 13 bytes each.
func encodeRates(rates []chestnutroad.TargetRate) []byte {
	var data []byte
	for _, rate := range rates {
		data = binary.BigEndian.AppendUint32(data, uint32(rate.Target))
		data = binary.AppendUvarint(data, encodeLimit(rate.Limit))
		data = binary.AppendUvarint(data, uint64(max(0, rate.Age/rateAgeUnit)))
		data = binary.AppendUvarint(data, encodeCount(rate.Sent))
		for _, count := range rate.Wanted {
			data = binary.AppendUvarint(data, encodeCount(count))
		}
	}
	return data
}

func encodeLimit(limit chestnutroad.RequestRate) uint64 {
	if limit <= 0 {
		return 0
	}
	return uint64(min(max(1, math.Round(limitOffset+limitSteps*math.Log2(float64(limit)))), maxRateField))
}

func decodeLimit(code uint64) chestnutroad.RequestRate {
	if code == 0 {
		return 0
	}
	return chestnutroad.RequestRate(math.Exp2((float64(code) - limitOffset) / limitSteps))
}

func encodeCount(count float64) uint64 {
	return uint64(min(max(0, math.Round(count/countUnit)), maxRateField))
}

// decodeRates returns the encoded rates up to the first one that is incomplete or out of range.
func decodeRates(data []byte) []chestnutroad.TargetRate {
	var rates []chestnutroad.TargetRate
	for len(data) >= rateHashSize {
		rate := chestnutroad.TargetRate{Target: chestnutroad.TargetHash(binary.BigEndian.Uint32(data))}
		data = data[rateHashSize:]
		var fields [rateFieldCount]uint64
		for index := range fields {
			value, size := binary.Uvarint(data)
			if size <= 0 || value > maxRateField {
				return rates
			}
			fields[index], data = value, data[size:]
		}
		rate.Limit, rate.Age = decodeLimit(fields[0]), time.Duration(fields[1])*rateAgeUnit
		rate.Sent = float64(fields[2]) * countUnit
		for class := range rate.Wanted {
			rate.Wanted[class] = float64(fields[3+class]) * countUnit
		}
		rates = append(rates, rate)
	}
	return rates
}
