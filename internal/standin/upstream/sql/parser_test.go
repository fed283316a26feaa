package sql_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

func TestParameterTypes(t *testing.T) {
	for text, want := range map[string][]sql.Type{
		"SELECT $1":                                         {sql.TypeText},
		"SELECT $2::int, $1":                                {sql.TypeText, sql.TypeInt4},
		"SELECT * FROM t WHERE id = $1 LIMIT $2":            {sql.TypeText, sql.TypeInt8},
		"SELECT * FROM generate_series(1, $1)":              {sql.TypeInt4},
		"SELECT pg_sleep($1)":                               {sql.TypeFloat8},
		"INSERT INTO t (id, a) VALUES ($1, $2)":             {sql.TypeText, sql.TypeText},
		"SELECT * FROM group_accept($1, $2)":                {sql.TypeInt8, sql.TypeText},
		"UPDATE t SET a = $1 WHERE id = CAST($2 AS bigint)": {sql.TypeText, sql.TypeInt8},
	} {
		p, err := sql.Parse(text)
		is.New(t).NoErr(err)
		is.New(t).Equal(p.Params, want)
	}
}

func TestSyntaxErrorsHaveTheirOffset(t *testing.T) {
	for text, want := range map[string]sql.SyntaxError{
		"SELECT 1 1":                         {Offset: 9, Near: "1"},
		"SELECT":                             {Offset: 6},
		"SELECT 'a":                          {Offset: 7, Near: "'a"},
		"UPDATE t SET id = '1'":              {Offset: 16, Near: "="},
		"INSERT INTO t (id, a) VALUES ('1')": {Offset: 33, Near: ")"},
		"/* open":                            {Offset: 0, Near: "/*"},
		"SELECT " + strings.Repeat("(", 200) + "1": {Offset: 107, Near: "("},
		"VACUUM": {Offset: 0, Near: "VACUUM"},
	} {
		_, err := sql.ParseAll(text)
		var got *sql.SyntaxError
		is.New(t).True(errors.As(err, &got))
		is.New(t).Equal(*got, want)
	}
}

// The expression of a long chain of operators nests as deep as the chain is
// long, which maxDepth doesn't limit.
func TestLongChainsOfOperatorsFail(t *testing.T) {
	_, err := sql.Parse("SELECT 1" + strings.Repeat("+1", 100_000))
	var got *sql.SyntaxError
	is.New(t).True(errors.As(err, &got))
}

func FuzzParseAll(f *testing.F) {
	for _, seed := range []string{
		"", ";;", "SELECT 1; SELECT 'x'", "INSERT INTO t (id, a) VALUES ($1, 'a''b'), ($2, NULL) ON CONFLICT (id) DO UPDATE SET a = EXCLUDED.a RETURNING *",
		"UPDATE t SET a = a || '1' WHERE id = $1 AND (b IS NOT NULL OR c NOT IN (1, -2.5))", "DELETE FROM \"T\"\"x\" WHERE id = 'x' RETURNING id AS gone",
		"SELECT count(*) FROM public.t AS x WHERE NOT a = 1 ORDER BY b DESC, c LIMIT $1 FOR UPDATE", "SELECT * FROM generate_series(1, $1) g",
		"BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY", "ROLLBACK TO SAVEPOINT s", "SET LOCAL search_path TO a, 'b'", "SHOW TRANSACTION ISOLATION LEVEL",
		"/* a /* b */ c */ SELECT CAST($1 AS double precision)::varchar(10) -- end", "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", "SELECT - - 1, -$1",
		"DEALLOCATE ALL", "DISCARD TEMP", "RESET ALL", "SELECT \xff", "SELECT $99999999999", "SELECT 1.2.3",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		list, err := sql.ParseAll(text)
		var syntax *sql.SyntaxError
		if err != nil && (!errors.As(err, &syntax) || syntax.Offset < 0 || syntax.Offset > len(text)) {
			t.Fatalf("bad error: %v", err)
		}
		for _, p := range list {
			if p.Statement == nil {
				t.Fatal("a statement is missing")
			}
			sql.WalkStatement(p.Statement, func(e sql.Expr) {
				if param, ok := e.(*sql.Param); ok && param.Number > len(p.Params) {
					t.Fatalf("parameter %d has no type", param.Number)
				}
			})
		}
	})
}
