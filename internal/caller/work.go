package caller

import (
	"context"

	"github.com/chervilladder/chervilladder"
)

// open opens the exchange that runs a batch and the rest of its transaction.
func (s *session) open(ctx context.Context, b *batch) error {
	w, err := s.work(b)
	if err != nil {
		return err
	}
	exchange, err := s.server.Executor.Open(ctx, w)
	if err != nil {
		return err
	}
	s.exchange = exchange
	s.readOnly = w.Access == chervilladder.AccessRead
	s.setRunning(exchange)
	return nil
}

// work returns the description of a batch that admission and routing use.
func (s *session) work(b *batch) (chervilladder.Work, error) {
	unknownDB := &chervilladder.NotRunError{Database: s.database, Reason: chervilladder.ReasonUnknownDB}
	catalogue := s.server.Board.Catalogue.Load()
	if catalogue == nil {
		return chervilladder.Work{}, unknownDB
	}
	db, ok := catalogue.Databases[s.database]
	if !ok {
		return chervilladder.Work{}, unknownDB
	}
	service := catalogue.Services[db.Service]
	class := s.pickClass(service, b.class)
	s.service, s.class = db.Service, class
	return chervilladder.Work{
		Database: s.database,
		Service:  db.Service,
		Class:    class.ID,
		Session:  s.consistencyID,
		Caller:   s.user,
		Access:   b.access(),
		Seen:     s.seen,
		Arrived:  b.arrived,
		Deadline: b.arrived.Add(class.Deadline),
		Settings: s.settings.list,
	}, nil
}

// pickClass returns the class of a batch. In order of precedence, it is named
// by a comment's tag, the start-up parameter or the role. If that class doesn't
// exist or none is named, the service's default applies.
func (s *session) pickClass(service *chervilladder.Service, tag string) *chervilladder.Class {
	names := []chervilladder.ClassID{
		chervilladder.ClassID(tag),
		chervilladder.ClassID(s.startClass),
		service.RoleClasses[s.user],
	}
	for _, id := range names {
		if id == "" {
			continue
		}
		if c, ok := service.Classes[id]; ok {
			return c
		}
		break
	}
	return service.Classes[service.DefaultClass]
}
