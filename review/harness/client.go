package harness

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// clientTimeout bounds the wait for an answer.
const clientTimeout = 3 * time.Second

// Client is one client's session.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// Dial connects to a VM's front address and opens a session.
func Dial(ip, database, name string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", ip+":7001", time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, in: bufio.NewReader(conn)}
	if answer, err := c.Send("CONNECT " + database + " " + name); err != nil || !strings.HasPrefix(answer, "READY") {
		conn.Close()
		return nil, fmt.Errorf("CONNECT is answered with %q: %w", answer, err)
	}
	return c, nil
}

// Close ends the session.
func (c *Client) Close() { c.conn.Close() }

// Send writes a line and returns the first line of the answer.
func (c *Client) Send(line string) (string, error) {
	if err := c.conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return "", err
	}
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return "", err
	}
	return c.line()
}

func (c *Client) line() (string, error) {
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Query runs a statement and returns the lines of its answer but READY.
func (c *Client) Query(id, text string) ([]string, error) {
	line, err := c.Send("QUERY " + id + " " + text)
	var lines []string
	for err == nil && !strings.HasPrefix(line, "READY ") {
		lines = append(lines, line)
		line, err = c.line()
	}
	return lines, err
}

// Ack is a write whose success a client was told.
type Ack struct {
	ID string
	At time.Time
}

// Writers are clients that write without a pause until they are stopped.
type Writers struct {
	w    *World
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	acks []Ack
}

// writePause is a writer's pause between two writes.
const writePause = 40 * time.Millisecond

// StartWriters starts clients, spread over the VMs.
func (w *World) StartWriters(n int) *Writers {
	s := &Writers{w: w, stop: make(chan struct{})}
	for i := range n {
		s.done.Go(func() { s.run(i) })
	}
	return s
}

// Stop ends the clients and returns the writes that were acknowledged.
func (s *Writers) Stop() []Ack {
	close(s.stop)
	s.done.Wait()
	return s.acks
}

func (s *Writers) run(number int) {
	var c *Client
	for serial := 0; ; serial++ {
		select {
		case <-s.stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(writePause):
		}
		if c == nil {
			vm := s.w.VMs[(number+serial)%len(s.w.VMs)]
			var err error
			if c, err = Dial(vm.IP, "bookings", fmt.Sprintf("c%d", number)); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("w%02d-%05d", number, serial)
		answer, err := c.Query(id, fmt.Sprintf("WRITE %x data-%s", serial%2000, id))
		s.w.Recordf("client %d: WRITE %s answered with %q %v", number, id, answer, err)
		if err != nil {
			c.Close()
			c = nil
			continue
		}
		if len(answer) == 1 && strings.HasPrefix(answer[0], "COMPLETE ") {
			s.mu.Lock()
			s.acks = append(s.acks, Ack{ID: id, At: time.Now()})
			s.mu.Unlock()
		}
	}
}

// LostAcks returns the acknowledged writes that the present primary's log lacks.
func (w *World) LostAcks(acks []Ack) []Ack {
	primary, term := w.Cluster.Primary()
	held := make(map[string]bool)
	for _, e := range w.Cluster.Log(primary) {
		for _, c := range e.Commands {
			held[string(c.ID)] = true
		}
	}
	var lost []Ack
	for _, a := range acks {
		if !held[a.ID] {
			lost = append(lost, a)
			w.Recordf("LOST: write %s was acknowledged and isn't in the log of %s, the primary of term %d", a.ID, primary, term)
		}
	}
	w.Recordf("%d writes acknowledged, %d of them lost; %s is the primary of term %d", len(acks), len(lost), primary, term)
	return lost
}
