package peer

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

func TestBatchAndReplyRoundTrip(t *testing.T) {
	is := is.New(t)
	batch := chervilladder.Batch{
		Payload: []byte("x"),
		Needs:   []chervilladder.Statement{{Name: "a", SQL: "SELECT $1", ParameterTypes: []uint32{23}}},
		Closes:  true,
		Commits: true,
	}
	is.Equal(decodeBatch(encodeBatch(batch)), batch)
	reply := chervilladder.Reply{
		Payload: []byte("y"), Last: true, Open: true,
		Seen: chervilladder.Mark{Term: 3, Position: 9}, Upstream: "u1",
	}
	is.Equal(decodeReply(encodeReply(reply).GetReply()), reply)
}

// The work of a caller whose name isn't valid UTF-8 used to fail at each VM that it was
// forwarded to.
func TestWorkOfACallerWhoseNameIsNotUTF8(t *testing.T) {
	is := is.New(t)
	b, err := proto.Marshal(encodeWork(chervilladder.Work{Database: "d", Caller: "u\xff3"}))
	is.NoErr(err)
	var w peerpb.Work
	is.NoErr(proto.Unmarshal(b, &w))
	is.Equal(decodeWork(&w).Caller, "u\uFFFD3")
}

func TestFailureRoundTrip(t *testing.T) {
	is := is.New(t)
	notRun := &chervilladder.NotRunError{Database: "d", Reason: chervilladder.ReasonOverload, RetryAfter: time.Second}
	var gotNotRun *chervilladder.NotRunError
	is.True(errors.As(decodeFailure("d", encodeFailure(notRun).GetFailure()), &gotNotRun))
	is.Equal(*gotNotRun, *notRun)
	var gotUnknown *chervilladder.UnknownError
	is.True(errors.As(decodeFailure("d", encodeFailure(errors.New("any other")).GetFailure()), &gotUnknown))
	is.Equal(gotUnknown.Error(), "database d: outcome unknown at upstream : any other")
}

// FuzzDecode decodes arbitrary messages of a peer. A failure of an unknown kind must
// never be decoded as not run.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, request, response []byte) {
		var in peerpb.RunRequest
		if proto.Unmarshal(request, &in) == nil {
			decodeWork(in.GetWork())
			decodeBatch(in.GetBatch())
		}
		var out peerpb.RunResponse
		if proto.Unmarshal(response, &out) != nil {
			return
		}
		decodeReply(out.GetReply())
		err := decodeFailure("d", out.GetFailure())
		var notRun *chervilladder.NotRunError
		if errors.As(err, &notRun) && out.GetFailure().GetKind() != peerpb.Failure_KIND_NOT_RUN {
			t.Fatalf("%v is decoded as %v", out.GetFailure(), err)
		}
	})
}
