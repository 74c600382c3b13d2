package framer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// Sentinel errors of a [Reader].
var (
	ErrTooLarge = errors.New("message exceeds the size limit")
	ErrLength   = errors.New("message length is below the minimum")
)

// HeaderSize is the size of a frame's type and length in bytes.
const HeaderSize = 5

// DefaultLimit is the default of Reader.Limit in bytes.
const DefaultLimit = 64 << 20

const defaultBufferSize = 1024

// Reader reads frames from Source into a buffer and retains them until Consume.
// The slices that it returns are parts of this buffer, and are valid until the
// next call of FillFor, Peek, Next, Consume or ConsumeExceptLast.
type Reader struct {
	Source io.Reader
	Size   int // Initial size of the buffer in bytes; 0 means 1 kB.
	Limit  int // Maximum size of the retained frames together, in bytes; 0 means 64 MB.

	buf                 []byte
	consumed, next, end int // Retained frames are buf[consumed:next], unread bytes buf[next:end].
}

// Next returns the type and the bytes of the next frame, including its header,
// and retains the frame until Consume. It returns [ErrTooLarge] if the retained
// frames and this one exceed the limit, [ErrLength] if the length is malformed,
// and [io.ErrUnexpectedEOF] if Source ends within a frame.
func (r *Reader) Next() (byte, []byte, error) {
	kind, size, err := r.Peek()
	if err != nil {
		return 0, nil, err
	}
	for r.end-r.next < size {
		if err := r.FillFor(size); err != nil {
			return 0, nil, eofToUnexpected(err)
		}
	}
	frame := r.buf[r.next : r.next+size]
	r.next += size
	return kind, frame, nil
}

// Peek returns the type of the next frame and its size including the header. It
// waits for the header only and does not advance.
func (r *Reader) Peek() (byte, int, error) {
	for r.end-r.next < HeaderSize {
		if err := r.FillFor(HeaderSize); err != nil {
			if r.end > r.next {
				err = eofToUnexpected(err)
			}
			return 0, 0, err
		}
	}
	return r.parseHeader()
}

// parseHeader parses the header at the next position, which must be in the buffer,
// and returns the type and the size of the frame including the header.
func (r *Reader) parseHeader() (byte, int, error) {
	length := binary.BigEndian.Uint32(r.buf[r.next+1:])
	if length < 4 {
		return 0, 0, errors.Wrapf(ErrLength, "%d", length)
	}
	if int64(length)+1+int64(r.next-r.consumed) > int64(r.frameLimit()) {
		return 0, 0, errors.Wrapf(ErrTooLarge, "%d bytes of type %q", length, r.buf[r.next])
	}
	return r.buf[r.next], int(length) + 1, nil
}

// Unread makes the last n retained bytes unread, so that Next returns them again.
func (r *Reader) Unread(n int) { r.next -= n }

// HasFrame reports whether Next would return a frame or an error without reading
// from Source.
func (r *Reader) HasFrame() bool {
	if r.end-r.next < HeaderSize {
		return false
	}
	_, size, err := r.parseHeader()
	return err != nil || r.end-r.next >= size
}

// TakeBytes returns and retains up to n unread bytes, regardless of frame
// boundaries.
func (r *Reader) TakeBytes(n int) []byte {
	n = min(n, r.end-r.next)
	taken := r.buf[r.next : r.next+n]
	r.next += n
	return taken
}

// Retained returns the retained bytes: those read since the last Consume.
func (r *Reader) Retained() []byte { return r.buf[r.consumed:r.next] }

// Consume discards the retained bytes. If no unread bytes are left, it also releases
// a buffer that has grown.
func (r *Reader) Consume() {
	r.consumed = r.next
	if r.consumed == r.end {
		r.consumed, r.next, r.end = 0, 0, 0
		if len(r.buf) > r.bufferSize() {
			r.buf = nil
		}
	}
}

// ConsumeExceptLast discards the retained bytes except the last n.
func (r *Reader) ConsumeExceptLast(n int) {
	if r.consumed = r.next - n; n == 0 {
		r.Consume()
	}
}

// Buffered returns the number of unread bytes.
func (r *Reader) Buffered() int { return r.end - r.next }

// Full reports whether FillFor(0) would have to grow the buffer.
func (r *Reader) Full() bool { return r.consumed == 0 && r.end == len(r.buf) && r.buf != nil }

// FillFor reads once from Source and appends to the unread bytes. size is the size
// of the expected frame at the next position, or 0 if unknown. The buffer only
// doubles when it is full, so that a large length in a header reserves little
// memory until the bytes of the frame arrive.
func (r *Reader) FillFor(size int) error {
	r.makeRoom(size)
	n, err := r.Source.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// makeRoom allocates the buffer if necessary, and moves the retained and unread
// bytes to its start if the buffer is full or too small for a frame of size bytes
// at the next position. It doubles a buffer that is full after that.
func (r *Reader) makeRoom(size int) {
	if r.buf == nil {
		r.buf = make([]byte, r.bufferSize())
	}
	if r.consumed > 0 && (r.end == len(r.buf) || r.next+size > len(r.buf)) {
		copy(r.buf, r.buf[r.consumed:r.end])
		r.next, r.end, r.consumed = r.next-r.consumed, r.end-r.consumed, 0
	}
	if r.end == len(r.buf) {
		grown := make([]byte, 2*len(r.buf))
		copy(grown, r.buf[:r.end])
		r.buf = grown
	}
}

func (r *Reader) bufferSize() int {
	if r.Size > 0 {
		return r.Size
	}
	return defaultBufferSize
}

func (r *Reader) frameLimit() int {
	if r.Limit > 0 {
		return r.Limit
	}
	return DefaultLimit
}

// eofToUnexpected replaces io.EOF with io.ErrUnexpectedEOF, for an end of Source
// within a frame.
func eofToUnexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
