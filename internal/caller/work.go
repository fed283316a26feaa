package caller

import (
	"context"

	"github.com/chervilladder/chervilladder"
)

// open opens the exchange that runs a batch and what follows it.
func (s *session) open(ctx context.Context, b *batch) error {
	w, err := s.work(b)
	if err != nil {
		return err
	}
	x, err := s.server.Executor.Open(ctx, w)
	if err != nil {
		return err
	}
	s.exchange = x
	s.readOnly = w.Access == chervilladder.AccessRead
	s.setRunning(x)
	return nil
}

// work describes a batch to those who decide about it.
func (s *session) work(b *batch) (chervilladder.Work, error) {
	refused := &chervilladder.NotRunError{Database: s.database, Reason: chervilladder.ReasonUnknownDB}
	catalogue := s.server.Board.Catalogue.Load()
	if catalogue == nil {
		return chervilladder.Work{}, refused
	}
	db, ok := catalogue.Databases[s.database]
	if !ok {
		return chervilladder.Work{}, refused
	}
	service := catalogue.Services[db.Service]
	class := s.pickClass(service, b.class)
	s.service, s.class = db.Service, class
	return chervilladder.Work{
		Database: s.database,
		Service:  db.Service,
		Class:    class.ID,
		Session:  s.id,
		Caller:   s.user,
		Access:   b.access(),
		Seen:     s.seen,
		Arrived:  b.arrived,
		Deadline: b.arrived.Add(class.Deadline),
		Settings: s.settings.list,
	}, nil
}

// pickClass picks the class of a batch: a comment's tag goes before the start-up
// parameter, that before the role, and that before the service's default.
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
