package routing_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/routing"
)

// in returns a configuration that names one database, after its version.
func in(era chervilladder.Era, revision chervilladder.Revision, version chervilladder.ConfigVersion) *chervilladder.Routing {
	db := chervilladder.DatabaseID(rune('a' + version))
	return &chervilladder.Routing{
		Version: version, Revision: chervilladder.StoreRevision{Era: era, Revision: revision},
		Routes: map[chervilladder.DatabaseID]chervilladder.Route{db: {Database: db}},
	}
}

func bubbleOfEras(t *testing.T, f func(is *is.I, s *listed, board *blackboard.Board)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		board := blackboard.New(chervilladder.VM{ID: "vm"})
		s := &listed{next: in(1, 111, 8)}
		k, err := routing.New(routing.Config{Board: board, Source: s, Log: log, Clock: time.Now})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		defer func() {
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(time.Second)
		f(is, s, board)
	})
}

// After the store has come back from a copy, its revisions are below those of before. What
// the operator writes then must be in force, and the copy's older configuration not, nor
// must a watch of before bring it (regression: review/8).
func TestConfigurationIsInForceAfterTheStoreHasComeBackFromACopy(t *testing.T) {
	bubbleOfEras(t, func(is *is.I, s *listed, board *blackboard.Board) {
		for era := chervilladder.Era(2); era <= 3; era++ { // the drill twice
			version := board.Routing.Load().Version
			s.put(in(era, 104, version-1))
			time.Sleep(4 * time.Second)
			is.Equal(board.Routing.Load().Version, version)
			s.put(in(era, 105, version)) // written again
			time.Sleep(4 * time.Second)
			is.Equal(board.Routing.Load().Revision, chervilladder.StoreRevision{Era: era, Revision: 105})
			s.put(in(era, 106, version+1))
			time.Sleep(4 * time.Second)
			is.Equal(board.Routing.Load().Version, version+1)
		}
	})
}

// The operator writes the versions that the store has lost again in their order.
func TestVersionsThatAreWrittenAgainInTheirOrderPutNoneBack(t *testing.T) {
	bubbleOfEras(t, func(is *is.I, s *listed, board *blackboard.Board) {
		for i := range 4 {
			s.put(in(2, chervilladder.Revision(104+i), chervilladder.ConfigVersion(5+i)))
			time.Sleep(4 * time.Second)
			is.Equal(board.Routing.Load().Version, chervilladder.ConfigVersion(8))
		}
		is.Equal(board.Routing.Load().Revision, chervilladder.StoreRevision{Era: 2, Revision: 107})
	})
}

// A VM that has started with the copy's configuration learns of a peer the one that the
// operator wrote last, and doesn't go back.
func TestVMThatStartsWithTheCopyLearnsOfAPeer(t *testing.T) {
	bubbleOfEras(t, func(is *is.I, s *listed, board *blackboard.Board) {
		board.PeerKnowledge.Store(blackboard.Knowledge{Routing: in(1, 90, 9)})
		time.Sleep(time.Second)
		is.Equal(board.Routing.Load().Version, chervilladder.ConfigVersion(9))
		s.put(in(1, 112, 8))
		time.Sleep(4 * time.Second)
		is.Equal(board.Routing.Load().Version, chervilladder.ConfigVersion(9))
	})
}
