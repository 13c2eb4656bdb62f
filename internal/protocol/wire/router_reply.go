package wire

// serverBytes is the usual size in bytes of a backend server in a reply.
const serverBytes = 256

// ReplySize implements Sized.
func (r RouterConfig) ReplySize() int64 {
	return int64(len(r.Raw) + serverBytes*len(r.Servers))
}

// ReplySize implements Sized.
func (r RouterValue) ReplySize() int64 { return int64(len(r.Part)) }

// ReplySize implements Sized.
func (r RouterUpdates) ReplySize() int64 { return int64(len(r.Items) + len(r.Packed)) }
