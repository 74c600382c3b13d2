// Package framer reads and appends message frames of the PostgreSQL
// frontend/backend protocol, version 3.
//
// A frame consists of a type byte, a length of four bytes that includes itself,
// and a body. The [Reader] retains whole frames in one buffer, so that a caller
// can forward their bytes without re-encoding them. The buffer starts small,
// grows for a large message and is released afterwards, because an instance
// holds thousands of idle connections.
package framer
