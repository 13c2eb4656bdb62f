package model

// Body is the body of a request in segments, in order. They are shared and must not be changed.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() int {
	n := 0
	for _, s := range b {
		n += len(s)
	}
	return n
}

// Held returns the size in bytes of the memory that the body takes.
func (b Body) Held() int64 {
	n := int64(0)
	for _, s := range b {
		n += int64(cap(s))
	}
	return n
}
