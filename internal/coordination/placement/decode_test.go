package placement

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Any value decodes to an error or to a plan that can be extended, repaired and encoded.
func FuzzDecodePlan(f *testing.F) {
	for _, seed := range []string{
		`{"10.0.0.1:80":{"from":0,"to":40},"10.0.0.2:80":{"from":40,"to":80}}`,
		`{"a":{"from":-1,"to":3}}`, `{"a":{"from":9,"to":3}}`, `{"a":{"from":79,"to":9000000000}}`, `null`, `{}`, `[]`, `{"a":7}`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		plan, err := DecodePlan(raw)
		if err != nil {
			return
		}
		all := mixedEngines()
		for addr, held := range plan {
			all = append(all, Engine{Address: addr, Domain: "luka", Card: cards["l4"]})
			assert.Assert(t, held.From >= 0 && held.Len() >= 0)
			break
		}
		next, _ := Extend(testSpec(), plan, all)
		Repair(testSpec(), next, all)
		RepairDomains(testSpec(), next, all, func(string) bool { return true })
		again, err := json.Marshal(plan)
		assert.NilError(t, err)
		_, err = DecodePlan(again)
		assert.NilError(t, err)
	})
}
