package target

import "sync"

// BufferSize is the size in bytes of a pooled buffer, which holds one chunk of an answer's body.
const BufferSize = 16 << 10

var buffers = sync.Pool{New: func() any { return new([BufferSize]byte) }}

// GetBuffer returns a buffer from the pool.
func GetBuffer() *[BufferSize]byte {
	buffer, ok := buffers.Get().(*[BufferSize]byte)
	if !ok {
		return new([BufferSize]byte)
	}
	return buffer
}

// PutBuffer returns a buffer to the pool.
func PutBuffer(buffer *[BufferSize]byte) { buffers.Put(buffer) }
