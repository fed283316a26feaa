package control

import (
	"net/http"
	"slices"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/wire"
)

// Status is the answer to GET /status.
type Status struct {
	Member          chervilladder.UpstreamID `json:"member"`
	Role            string                   `json:"role"`
	Term            chervilladder.Term       `json:"term"`
	LogTerm         chervilladder.Term       `json:"log-term"`
	Primary         chervilladder.UpstreamID `json:"primary"`
	Received        chervilladder.Position   `json:"received"`
	Replayed        chervilladder.Position   `json:"replayed"`
	ContactMillis   int64                    `json:"contact-ms"`
	Claim           chervilladder.Claim      `json:"claim"`
	Holder          chervilladder.VMID       `json:"holder"`
	Slots           int                      `json:"slots"`
	Running         int                      `json:"running"`
	QueueLength     int                      `json:"queue-length"`
	MaxQueueLength  int                      `json:"max-queue-length"`
	Connections     wire.Report              `json:"connections"`
	Faults          faults                   `json:"faults"`
	ReplayLag       string                   `json:"replay-lag"`
	ReceiveLag      string                   `json:"receive-lag"`
	StatementTime   string                   `json:"statement-time"`
	ConnectDelay    string                   `json:"connect-delay"`
	ConnectionLimit int                      `json:"connection-limit"`
}

// faults are the faults in force.
type faults struct {
	Partition    bool   `json:"partition"`
	Isolate      bool   `json:"isolate"`
	Freeze       bool   `json:"freeze"`
	PauseAnswers int    `json:"pause-answers"`
	PauseTime    string `json:"pause-time"`
	DropAnswers  int    `json:"drop-answers"`
}

func (s *Server) status() Status {
	member := s.Keeper.Status()
	load := s.Slots.Load()
	settings := s.Board.Settings.Load()
	r := Status{
		Member: member.Member, Role: member.Role.String(), Term: member.Term, LogTerm: member.LogTerm,
		Primary: s.Board.Member.Load().Primary, Received: member.Received, Replayed: member.Replayed,
		ContactMillis: -1, Claim: member.Claim, Holder: member.Holder,
		Slots: member.Slots, Running: load.Running, QueueLength: load.Waiting, MaxQueueLength: load.MaxWaiting,
		Connections: s.Wire.Report(), Faults: faultsOf(s.Board.Faults.Load()),
		ReplayLag: settings.ReplayLag.String(), ReceiveLag: settings.ReceiveLag.String(),
		StatementTime: settings.StatementTime.String(), ConnectDelay: settings.ConnectDelay.String(),
		ConnectionLimit: settings.Connections,
	}
	if member.Contact >= 0 {
		r.ContactMillis = member.Contact.Milliseconds()
	}
	return r
}

func faultsOf(f state.Faults) faults {
	return faults{
		Partition: f.Partition, Isolate: f.Isolate, Freeze: f.Freeze,
		PauseAnswers: f.PauseAnswers, PauseTime: f.PauseTime.String(), DropAnswers: f.DropAnswers,
	}
}

// transaction is one committed transaction in the answer to GET /log.
type transaction struct {
	Position chervilladder.Position `json:"position"`
	Term     chervilladder.Term     `json:"term"`
	XID      engine.XID             `json:"xid"`
	Changes  []change               `json:"changes"`
}

// change is one changed row in the answer to GET /log.
type change struct {
	Operation engine.Operation           `json:"operation"`
	Table     sql.TableName              `json:"table"`
	ID        engine.RowID               `json:"id"`
	Columns   map[sql.ColumnName]*string `json:"columns"`
}

func (s *Server) transactions() []transaction {
	list := []transaction{}
	for _, e := range s.DB.Log().Entries() {
		t := transaction{Position: e.Position, Term: e.Term, XID: e.XID}
		for _, c := range e.Changes {
			t.Changes = append(t.Changes, change{
				Operation: c.Operation, Table: c.Table, ID: c.ID, Columns: columnsOf(c.Columns),
			})
		}
		list = append(list, t)
	}
	return list
}

// row is one row in the answer to GET /rows.
type row struct {
	ID      engine.RowID               `json:"id"`
	Columns map[sql.ColumnName]*string `json:"columns"`
}

func (s *Server) rows(w http.ResponseWriter, r *http.Request) {
	table := sql.TableName(r.URL.Query().Get("table"))
	if table == "" {
		fail(w, "table is required")
		return
	}
	list := []row{}
	for _, found := range s.DB.Version().Table(table).Rows() {
		list = append(list, row{ID: found.ID, Columns: columnsOf(found.Fields)})
	}
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(string(a.ID), string(b.ID)) })
	answer(w, http.StatusOK, list)
}

func columnsOf(fields []engine.Field) map[sql.ColumnName]*string {
	columns := make(map[sql.ColumnName]*string, len(fields))
	for _, f := range fields {
		columns[f.Name] = f.Value
	}
	return columns
}
