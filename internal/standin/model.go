package standin

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The model is simulated. An activation has eight bytes, and each layer hashes its input
// together with all its previous inputs. If a layer is skipped, repeated or run out of
// order, all later tokens change. Tests therefore verify a run by its output.

// vocabulary contains the tokens of the simulated model.
var vocabulary = []string{
	"ladder", "north", "façade", "school", "morning", "crew", "window", "clinic",
	"sluice", "pump", "two", "before", "basin", "check", "gate", "hall",
	"library", "rinse", "aerate", "shift", "noon", "roof", "key", "handover",
}

// layerState is the state of one layer in one session.
type layerState uint64

// step runs a layer on an input and returns its output.
func (s *layerState) step(layer int, in uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], uint64(*s))
	binary.LittleEndian.PutUint64(buf[8:], in)
	binary.LittleEndian.PutUint64(buf[16:], uint64(layer)+1)
	out := xxhash.Sum64(buf[:])
	*s = layerState(out)
	return out
}

// activation decodes the input of a stage. The first layer gets a token of any length, later
// layers get eight bytes.
func activation(layer int, in []byte) uint64 {
	if layer > 0 && len(in) == 8 {
		return binary.LittleEndian.Uint64(in)
	}
	return xxhash.Sum64(in)
}

func encode(a uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, a)
}

func tokenOf(a uint64) []byte {
	return fmt.Appendf(nil, "%s ", vocabulary[a%uint64(len(vocabulary))])
}

// ReferenceOutput returns the tokens that a model generates if every layer runs exactly once
// and in order.
func ReferenceOutput(prompt [][]byte, layers, tokens int) [][]byte {
	states := make([]layerState, layers)
	var out [][]byte
	input := prompt
	for len(out) < tokens {
		var last uint64
		for _, in := range input {
			last = activation(0, in)
			for l := range states {
				last = states[l].step(l, last)
			}
		}
		token := tokenOf(last)
		out = append(out, token)
		input = [][]byte{token}
	}
	return out
}
