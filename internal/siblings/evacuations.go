package siblings

import (
	"encoding/binary"
	"math"

	"github.com/chestnutroad/chestnutroad"
)

// encodeEvacuations returns the era and the offset of the list's position, and for each data centre the length of its name, doubled and
// increased by one if its evacuation is ending, and the name. Numbers are variable-length integers. It returns nil for no list.
func encodeEvacuations(list *chestnutroad.EvacuationList) []byte {
	if list == nil {
		return nil
	}
	data := binary.AppendUvarint(nil, uint64(list.Position.Era))
	data = binary.AppendUvarint(data, uint64(list.Position.Offset))
	for _, id := range list.DataCentres {
		data = append(binary.AppendUvarint(data, uint64(len(id))<<1), id...)
	}
	for _, id := range list.Ending {
		data = append(binary.AppendUvarint(data, uint64(len(id))<<1|1), id...)
	}
	return data
}

// decodeEvacuations returns the encoded list, or nil for none. A part of a list would end the evacuations that it lacks, so that data
// that can't be decoded gives a list with an empty name, which package evacuation reports as malformed.
func decodeEvacuations(data []byte) *chestnutroad.EvacuationList {
	if len(data) == 0 {
		return nil
	}
	malformed := &chestnutroad.EvacuationList{DataCentres: []chestnutroad.DataCentreID{""}}
	next := func() (number uint64, ok bool) {
		number, size := binary.Uvarint(data)
		if size <= 0 {
			return 0, false
		}
		data = data[size:]
		return number, true
	}
	era, hasEra := next()
	offset, hasOffset := next()
	if !hasEra || !hasOffset || offset > math.MaxInt64 {
		return malformed
	}
	list := &chestnutroad.EvacuationList{
		Position: chestnutroad.Position{Era: chestnutroad.Era(era), Offset: chestnutroad.Offset(offset)},
	}
	for len(data) > 0 {
		header, ok := next()
		if !ok || header>>1 > uint64(len(data)) {
			return malformed
		}
		id := chestnutroad.DataCentreID(data[:header>>1])
		data = data[header>>1:]
		if header&1 == 0 {
			list.DataCentres = append(list.DataCentres, id)
		} else {
			list.Ending = append(list.Ending, id)
		}
	}
	return list
}
