package framer

import (
	"bytes"
	"encoding/binary"
)

// Begin appends the header of a frame without its length, which End sets after the
// body was appended.
func Begin(dst []byte, kind byte) []byte { return append(dst, kind, 0, 0, 0, 0) }

// End sets the length of the frame that starts at offset in dst.
func End(dst []byte, offset int) []byte {
	binary.BigEndian.PutUint32(dst[offset+1:], uint32(len(dst)-offset-1))
	return dst
}

// AppendFrame appends a frame with the given body.
func AppendFrame(dst []byte, kind byte, body ...byte) []byte {
	offset := len(dst)
	return End(append(Begin(dst, kind), body...), offset)
}

// AppendText appends a frame whose body consists of null-terminated strings.
func AppendText(dst []byte, kind byte, texts ...string) []byte {
	offset := len(dst)
	dst = Begin(dst, kind)
	for _, text := range texts {
		dst = append(append(dst, text...), 0)
	}
	return End(dst, offset)
}

// CutText splits a body into its first null-terminated string, without the
// terminator, and the rest. ok is false if the body has no zero byte.
func CutText(body []byte) (text, rest []byte, ok bool) {
	return bytes.Cut(body, []byte{0})
}

// ErrorField returns a field, such as 'C' for the SQLSTATE, of an ErrorResponse or
// NoticeResponse frame, or an empty string if the frame has no such field.
func ErrorField(frame []byte, field byte) string {
	rest := frame[HeaderSize:]
	for len(rest) > 1 {
		text, next, ok := CutText(rest[1:])
		if !ok {
			return ""
		}
		if rest[0] == field {
			return string(text)
		}
		rest = next
	}
	return ""
}

// IsFatal reports whether the server ends the connection after an ErrorResponse
// frame.
func IsFatal(frame []byte) bool {
	severity := ErrorField(frame, 'V')
	return severity == "FATAL" || severity == "PANIC"
}

// IsAsynchronous reports whether a server may send messages of this type at any time:
// NoticeResponse, ParameterStatus and NotificationResponse.
func IsAsynchronous(kind byte) bool {
	return kind == 'N' || kind == 'S' || kind == 'A'
}
