package record

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// partSize is the number of bytes of the compressed payload in one part. It leaves 1 KiB of a record for the other fields, and
// base64 makes 4 bytes of 3.
const partSize = (MaxSize - 1024) / 4 * 3

// maxParts bounds the memory that a damaged record can make a reader allocate; it allows snapshots of up to 12 GiB.
const maxParts = 1 << 16

// Writer identifies the incarnation of the host that wrote a snapshot.
type Writer struct {
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
}

// Snapshot is the state that a reader derived from all records up to and including Through.
type Snapshot struct {
	Writer  Writer
	Through chestnutroad.Offset
	// Taken is when the writer was last at the end of the log.
	Taken time.Time
	// Covered is set only between peers: the log time from which on no snapshot in the log covers the records.
	Covered time.Time
	Payload []byte
}

// SnapshotPart is a log record with one of the parts of a snapshot.
type SnapshotPart struct {
	Type    Type
	Writer  Writer
	Through chestnutroad.Offset
	Taken   time.Time
	// Part is the index of the part, from 0, and Parts is their number.
	Part  int
	Parts int
	// Checksum is the xxhash of the whole compressed payload.
	Checksum uint64
	// Piece is the part's section of the compressed payload.
	Piece []byte
}

// snapshotID identifies the snapshot that a part belongs to. Two writers may divide the same state into different parts.
type snapshotID struct {
	writer   Writer
	through  chestnutroad.Offset
	checksum uint64
	parts    int
}

func (pt *SnapshotPart) id() snapshotID {
	return snapshotID{writer: pt.Writer, through: pt.Through, checksum: pt.Checksum, parts: pt.Parts}
}

func (pt *SnapshotPart) valid() bool {
	return pt.Parts > 0 && pt.Parts <= maxParts && pt.Part >= 0 && pt.Part < pt.Parts
}

// EncodeSnapshot returns the snapshot as log records of the given type, each smaller than MaxSize.
func EncodeSnapshot(snapshotType Type, snapshot Snapshot) [][]byte {
	compressed := compress(snapshot.Payload)
	count := max(1, (len(compressed)+partSize-1)/partSize)
	records := make([][]byte, 0, count)
	for part := range count {
		piece := compressed[part*partSize : min(len(compressed), (part+1)*partSize)]
		records = append(records, encodePart(SnapshotPart{
			Type: snapshotType, Writer: snapshot.Writer, Through: snapshot.Through, Taken: snapshot.Taken,
			Part: part, Parts: count, Checksum: xxhash.Sum64(compressed), Piece: piece,
		}))
	}
	return records
}

func encodePart(part SnapshotPart) []byte {
	data, err := json.Marshal(part)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode part %d of a snapshot", part.Part))
	}
	return data
}

// DecodePart returns the snapshot part that a log record contains.
func DecodePart(data []byte) (*SnapshotPart, error) {
	part := new(SnapshotPart)
	if err := json.Unmarshal(data, part); err != nil {
		return nil, errors.Wrap(err, "decode snapshot part")
	}
	if !part.valid() {
		return nil, errors.Newf("invalid snapshot part %d of %d", part.Part, part.Parts)
	}
	return part, nil
}

// compress uses gzip's fastest level: for 30,000 claims it took 96 ms instead of 174 ms, and 80 instead of 79 bytes per claim.
func compress(payload []byte) []byte {
	var compressed bytes.Buffer
	writer, levelErr := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	_, writeErr := writer.Write(payload)
	if err := errors.Join(levelErr, writeErr, writer.Close()); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "compress snapshot"))
	}
	return compressed.Bytes()
}

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "open compressed snapshot")
	}
	payload, err := io.ReadAll(reader)
	return payload, errors.Wrap(err, "decompress snapshot")
}
