package relay

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/chervilladder/chervilladder/internal/blackboard"
)

func encode(k blackboard.Knowledge) ([]byte, error) { return json.Marshal(k) }

// errIncomplete reports knowledge that names no routes or no upstreams' revision.
var errIncomplete = errors.New("relay: knowledge is incomplete")

// decode reads what a peer has encoded.
func decode(b []byte) (blackboard.Knowledge, error) {
	var k blackboard.Knowledge
	if err := json.Unmarshal(b, &k); err != nil {
		return blackboard.Knowledge{}, err
	}
	if k.Routing == nil || k.UpstreamsAt == 0 {
		return blackboard.Knowledge{}, errIncomplete
	}
	for i := range k.Upstreams {
		if born := &k.Upstreams[i].Born; !born.IsZero() {
			*born = time.UnixMilli(born.UnixMilli()) // as it is read from the store
		}
	}
	return k, nil
}
