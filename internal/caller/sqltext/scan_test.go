package sqltext_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

func ExampleScan() {
	for _, s := range sqltext.Scan("/* class=lookup */ SELECT room FROM holds WHERE id = $1; COMMIT") {
		fmt.Println(s.Kind == sqltext.KindRead, s.Class)
	}
	// Output:
	// true lookup
	// false
}

func TestScanKinds(t *testing.T) {
	for text, want := range map[string]sqltext.Kind{
		"select * from t where id = 'update'":                      sqltext.KindRead,
		"SELECT count(*) FROM t":                                   sqltext.KindRead,
		"select * from t for update":                               sqltext.KindWrite,
		"select * from t for no key update":                        sqltext.KindWrite,
		"select * from t for key share":                            sqltext.KindWrite,
		"select book('x')":                                         sqltext.KindWrite,
		"select \"count\"('x')":                                    sqltext.KindWrite,
		"select public.count('x')":                                 sqltext.KindWrite,
		"select nextval('s')":                                      sqltext.KindWrite,
		"select * into u from t":                                   sqltext.KindWrite,
		"with a as (insert into t values (1) returning id) select": sqltext.KindWrite,
		"with a as (select 1) select * from a":                     sqltext.KindRead,
		"-- select\ninsert into t values ('a')":                    sqltext.KindWrite,
		"begin":                                                    sqltext.KindBegin,
		"begin isolation level x, read only":                       sqltext.KindBeginRead,
		"start transaction read only":                              sqltext.KindBeginRead,
		"end":                                                      sqltext.KindCommit,
		"begin read only, read write":                              sqltext.KindBegin,
		"rollback to savepoint a":                                  sqltext.KindRollbackTo,
		"savepoint a":                                              sqltext.KindSavepoint,
		"release a":                                                sqltext.KindRelease,
		"set transaction read write":                               sqltext.KindReadWrite,
		"set local transaction_read_only = off":                    sqltext.KindReadWrite,
		"set transaction read only":                                sqltext.KindLocal,
		"select set_config('a', 'b', false)":                       sqltext.KindUnsupported,
		"select set_config('a', 'b', true)":                        sqltext.KindWrite,
		"select 1 -- a\rfor update":                                sqltext.KindWrite,
		"select a$b$ from t for update -- $b$":                     sqltext.KindWrite,
		"rollback":                                                 sqltext.KindRollback,
		"set local statement_timeout = 5":                          sqltext.KindLocal,
		"set statement_timeout to '5s'":                            sqltext.KindSet,
		"set session statement_timeout = 5":                        sqltext.KindSet,
		"listen x":                                                 sqltext.KindUnsupported,
		"create temp table x (id text)":                            sqltext.KindUnsupported,
		"select pg_advisory_lock(1)":                               sqltext.KindUnsupported,
		"select pg_catalog.pg_advisory_lock(1)":                    sqltext.KindUnsupported,
		"explain analyze delete from t":                            sqltext.KindWrite,
		"deallocate all":                                           sqltext.KindDiscard,
		"select $$ for update $$":                                  sqltext.KindRead,
		"select E'\\' for update'":                                 sqltext.KindRead,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got := sqltext.Scan(text)
			is.Equal(len(got), 1)
			is.Equal(got[0].Kind, want)
		})
	}
}

func TestScanSet(t *testing.T) {
	is := is.New(t)
	got := sqltext.Scan("SET TIME ZONE 'Asia/Kathmandu'; set search_path = a, b; reset all")
	is.Equal(got[0].Name, "timezone")
	is.Equal(got[0].Value, "Asia/Kathmandu")
	is.Equal(got[1].Value, "a, b")
	is.Equal(got[2], sqltext.Statement{Kind: sqltext.KindSet, Reset: true})
}

func TestScanSetValues(t *testing.T) {
	for text, want := range map[string]sqltext.Statement{
		`set search_path = "My Schema", 'x', public`: {Kind: sqltext.KindSet, Name: "search_path", Value: `"My Schema", "x", public`},
		`set search_path to "a""b"`:                  {Kind: sqltext.KindSet, Name: "search_path", Value: `"a""b"`},
		"set search_path to 'a, b'":                  {Kind: sqltext.KindSet, Name: "search_path", Value: `"a, b"`},
		"set search_path to default":                 {Kind: sqltext.KindSet, Name: "search_path", Value: "default", Reset: true},
		"set datestyle = 'ISO, MDY'":                 {Kind: sqltext.KindSet, Name: "datestyle", Value: "ISO, MDY"},
		"set extra_float_digits = -15":               {Kind: sqltext.KindSet, Name: "extra_float_digits", Value: "-15"},
		"set time zone -5":                           {Kind: sqltext.KindSet, Name: "timezone", Value: "-5"},
		"set time zone local":                        {Kind: sqltext.KindSet, Name: "timezone", Value: "local", Reset: true},
		"reset time zone":                            {Kind: sqltext.KindSet, Name: "timezone", Reset: true},
		"set names 'utf8'":                           {Kind: sqltext.KindSet, Name: "client_encoding", Value: "utf8"},
		"set time zone interval '1' hour to minute":  {Kind: sqltext.KindUnsupported, Unsupported: "SET TIME ZONE INTERVAL"},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			is.Equal(sqltext.Scan(text), []sqltext.Statement{want})
		})
	}
}

// An incomplete or unusual statement must not panic: the text comes from callers. SET
// SESSION alone ended the process.
func TestScanIncompleteStatements(t *testing.T) {
	is := is.New(t)
	is.Equal(sqltext.Scan("SET SESSION"), []sqltext.Statement{{Kind: sqltext.KindWrite}})
	words := []string{
		"set", "reset", "session", "local", "time", "zone", "to", "=", "search_path", "names", "role", "all", "x",
		"'x'", "\"x\"", "-5", "characteristics", "authorization", "transaction", "begin", "rollback", "savepoint", "release",
		"select", "set_config", "(", "with", "as", "discard", "deallocate", "show", "create", "temp", "$a$", "E'", ";", "--", "/*",
	}
	for _, a := range words {
		for _, b := range words {
			for _, c := range words {
				sqltext.Scan(a + " " + b + " " + c)
				sqltext.Scan(a + " " + b + " " + c + " " + a)
			}
			sqltext.Scan(a + b)
		}
		sqltext.Scan(a)
	}
}

func FuzzScan(f *testing.F) {
	f.Add("set session")
	f.Add("set time zone interval")
	f.Add("select 'a' /* class=x */ from t; -- b")
	f.Add("$a$ x $a$ E'\\'' \"q\"")
	f.Add("/* /* */")
	f.Fuzz(func(_ *testing.T, text string) {
		sqltext.Scan(text)
	})
}
