package target

import "sync"

// BufferSize is the size of a pooled buffer for pieces of an answer.
const BufferSize = 16 << 10

var buffers = sync.Pool{New: func() any { return new([BufferSize]byte) }}

// TakeBuffer returns a buffer from the pool.
func TakeBuffer() *[BufferSize]byte {
	buffer, ok := buffers.Get().(*[BufferSize]byte)
	if !ok {
		return new([BufferSize]byte)
	}
	return buffer
}

// ReturnBuffer gives a buffer back to the pool.
func ReturnBuffer(buffer *[BufferSize]byte) { buffers.Put(buffer) }
