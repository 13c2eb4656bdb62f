package peers

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/coordination/transfer"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

const (
	// partSize is the size of a part of a value in bytes. A part must not delay the other
	// messages of a link for long, and has to arrive within a timeout on a slow link.
	partSize = 32 << 10
	// maxEncodedValues is how many compressed values a router keeps. Peers that began to
	// fetch a value finish it when a newer one follows.
	maxEncodedValues = 4
	// activeConfigKey is the name of the configuration in force. Keys of the store are not
	// empty.
	activeConfigKey = ""
)

// Values sends large values to peers and fetches them, compressed and in parts. A transfer
// that ends midway is resumed at any peer with the same value.
type Values struct {
	Pool *link.Pool
	// Lookup returns this router's value of a key, or of activeConfigKey, and whether it
	// has one.
	Lookup func(key string) (platform.Item, bool)
	// Known returns a value of this router with a checksum, or nil. It may be nil.
	Known   func(checksum uint64) []byte
	Uploads *transfer.Uploads

	mu      sync.Mutex
	encoded []*encodedValue // newest last
	partial partialValue
}

// encodedValue is a value to send.
type encodedValue struct {
	key      string
	checksum uint64 // of the uncompressed value
	revision model.Revision
	// compressed returns the compressed value. The first call compresses it, without the lock
	// that those who ask for other values need.
	compressed func() ([]byte, error)
}

// partialValue is the beginning of a value whose transfer ended midway.
type partialValue struct {
	key        string
	checksum   uint64
	compressed []byte
}

// Register registers the method that peers call.
func (v *Values) Register(s *link.Server) {
	s.Register(wire.MethodRouterValue, link.Handle(v.handleRequest))
}

func (v *Values) handleRequest(_ context.Context, from string, req wire.RouterValueRequest) (wire.RouterValue, error) {
	e, err := v.find(req.Key, req.Checksum)
	if err != nil {
		return wire.RouterValue{}, err
	}
	compressed, err := e.compressed()
	if err != nil {
		return wire.RouterValue{}, err
	}
	offset := req.Offset
	if e.checksum != req.Checksum || offset < 0 || offset > len(compressed) {
		offset = 0
	}
	end := min(offset+partSize, len(compressed))
	if !v.Uploads.Admit(from, end == len(compressed)) {
		return wire.RouterValue{}, errors.WithStack(fault.New(fault.NotReady, "this router sends values to other peers"))
	}
	return wire.RouterValue{Checksum: e.checksum, Revision: e.revision, Size: len(compressed), Offset: offset, Part: compressed[offset:end]}, nil
}

// find returns the value of a key with a checksum, or this router's value if it no
// longer has that one.
func (v *Values) find(key string, checksum uint64) (*encodedValue, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.encoded {
		if checksum != 0 && e.key == key && e.checksum == checksum {
			return e, nil
		}
	}
	it, ok := v.Lookup(key)
	if !ok {
		return nil, errors.WithStack(fault.New(fault.NotReady, "this router does not have the value"))
	}
	sum := xxhash.Sum64(it.Value)
	for _, e := range v.encoded {
		if e.key == key && e.checksum == sum && e.revision == it.Revision {
			return e, nil
		}
	}
	e := &encodedValue{key: key, checksum: sum, revision: it.Revision, compressed: sync.OnceValues(func() ([]byte, error) { return compress(it.Value) })}
	v.encoded = append(v.encoded, e)
	if len(v.encoded) > maxEncodedValues {
		v.encoded = v.encoded[1:]
	}
	return e, nil
}

// Fetch fetches a value from a peer. silence limits the time without data. It returns
// follow.ErrValueRefused if the peer does not send the value now.
func (v *Values) Fetch(ctx context.Context, addr, key string, silence time.Duration) (platform.Item, error) {
	part := v.resume(key)
	for {
		reply, err := v.fetchPart(ctx, addr, key, part, silence)
		if err != nil {
			return platform.Item{}, err
		}
		if reply.Checksum != part.checksum || reply.Offset == 0 {
			if known := v.known(reply.Checksum); known != nil {
				return platform.Item{Key: key, Value: known, Revision: reply.Revision}, nil
			}
			part = partialValue{key: key, checksum: reply.Checksum}
		}
		if reply.Offset != len(part.compressed) || len(reply.Part) == 0 && reply.Size > 0 || reply.Size > maxDecompressedSize {
			return platform.Item{}, errors.Errorf("part of value %.40q at %d of %d bytes, want %d", key, reply.Offset, reply.Size, len(part.compressed))
		}
		part.compressed = append(part.compressed, reply.Part...)
		if len(part.compressed) < reply.Size {
			v.keep(part)
			continue
		}
		v.keep(partialValue{})
		value, err := decompressAll(part.compressed)
		if err == nil && xxhash.Sum64(value) != part.checksum {
			err = errors.Errorf("value %.40q has another checksum than announced", key)
		}
		return platform.Item{Key: key, Value: value, Revision: reply.Revision}, err
	}
}

func (v *Values) fetchPart(ctx context.Context, addr, key string, part partialValue, silence time.Duration) (wire.RouterValue, error) {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	var reply wire.RouterValue
	req := wire.RouterValueRequest{Key: key, Checksum: part.checksum, Offset: len(part.compressed)}
	err := v.Pool.Call(ctx, addr, wire.MethodRouterValue, req, &reply)
	if err == nil {
		return reply, nil
	}
	v.Pool.Reset(addr)
	if f := fault.From(err); f.Kind == fault.NotReady || f.Kind == fault.NotFound {
		err = errors.Wrap(follow.ErrValueRefused, f.Msg)
	}
	return wire.RouterValue{}, err
}

func (v *Values) known(checksum uint64) []byte {
	if v.Known == nil {
		return nil
	}
	return v.Known(checksum)
}

// resume returns the part of a key's value that arrived already.
func (v *Values) resume(key string) partialValue {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.partial.key != key {
		return partialValue{key: key}
	}
	return v.partial
}

func (v *Values) keep(part partialValue) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.partial = part
}

func compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	z, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress value")
	}
	if _, err := z.Write(value); err != nil {
		return nil, errors.Wrap(err, "compress value")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress value")
	}
	return out.Bytes(), nil
}

func decompressAll(compressed []byte) ([]byte, error) {
	z := flate.NewReader(bytes.NewReader(compressed))
	defer z.Close()
	value, err := io.ReadAll(io.LimitReader(z, maxDecompressedSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress value")
	}
	if len(value) > maxDecompressedSize {
		return nil, errors.New("decompressed value is too long")
	}
	return value, nil
}
