// Command booking books a room, or reads a booking back, through a VM of the
// proxy. It is an ordinary pgx program. Only the class comment and the retry of
// statements that the proxy rejected without running them are specific to the
// proxy.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// notRun holds the SQLSTATEs of statements that the proxy rejected without running
// them and that are worth a retry.
var notRun = map[string]bool{"53400": true, "57P03": true}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: booking book|read URL ID")
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := run(ctx, os.Args[1], os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, "booking:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, action, url, id string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	start := time.Now()
	if action == "read" {
		var room, holder string
		err := conn.QueryRow(ctx, "SELECT room, holder FROM bookings WHERE id = $1", id).Scan(&room, &holder)
		fmt.Printf("read  %s: room %q, holder %q, after %v\n", id, room, holder, time.Since(start).Round(time.Millisecond))
		return err
	}
	attempts := 1
	for err = book(ctx, conn, id); wasNotRun(err); err = book(ctx, conn, id) {
		attempts++
	}
	fmt.Printf("book  %s: attempts %d, after %v\n", id, attempts, time.Since(start).Round(time.Millisecond))
	return err
}

func book(ctx context.Context, conn *pgx.Conn, id string) error {
	_, err := conn.Exec(ctx, "/* class=confirmation */ INSERT INTO bookings (id, room, holder) VALUES ($1, $2, $3)", id, "Sala 4", "Bufete Rojas")
	return err
}

// wasNotRun reports whether the booking did not run, so that it's safe to retry
// it.
func wasNotRun(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && notRun[e.Code]
}
