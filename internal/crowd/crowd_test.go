package crowd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// ample lets each VM hold connections to each member; with few, one VM holds them all and
// the others forward to it.
const (
	ample = 30
	few   = 4
)

// The sizes of the crowds. Together, the largest messages of manyCallers take more memory
// than a VM has, and manyConnections more descriptors.
const (
	manyCallers     = 200
	manyConnections = 600
)

// Each message is legal so far and never ends.
func TestLegalMessagesThatStopHalfWay(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.send(connectMessage, "QUERY h WRITE 1a4 ", text(maxMessageBytes-100))
	w.check()
}

// The same in small pieces, so that no bound on one read helps.
func TestLegalMessagesInPiecesThatStopHalfWay(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.send(connectMessage, "QUERY h WRITE 1a4 ")
	const piece = 1000
	for range maxMessageBytes/piece - 1 {
		c.send(text(piece))
	}
	w.check()
}

func TestMessagesWithoutEnd(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.send(connectMessage, "QUERY e WRITE 1a4 ", text(maxMessageBytes-100))
	c.settle()
	c.send(text(8 * maxMessageBytes))
	w.check()
}

// Line feeds without carriage returns end no message.
func TestLineFeedsWithoutEnd(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	lines := strings.Repeat(text(1023)+"\n", maxMessageBytes/1024-1)
	c.send(connectMessage, lines)
	c.settle()
	c.send(strings.Repeat(lines, 8))
	w.check()
}

func TestFirstMessagesWithoutEnd(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.send("CONNECT ", text(maxMessageBytes-100))
	c.settle()
	c.send(text(8 * maxMessageBytes))
	w.check()
}

// What waits for a slot is held in memory.
func TestLargestStatementsAtOnce(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.each(func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, connectMessage+largestWrite(fmt.Sprintf("w%d", i)))
		_, _ = io.Copy(io.Discard, conn)
	})
	w.check()
}

// One of two VMs holds all connections to the members and runs what the other one
// forwards.
func TestLargestStatementsForwarded(t *testing.T) {
	w := startWorld(t, 2, few)
	for _, v := range w.vms {
		c := connect(t, v, callerPort, manyCallers)
		c.each(func(i int, conn net.Conn) {
			_, _ = io.WriteString(conn, connectMessage+largestWrite(fmt.Sprintf("f%d", i)))
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	w.check()
}

func TestStatementsSentAheadWithoutReading(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.each(func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, connectMessage)
		for n := range 5000 {
			if _, err := fmt.Fprintf(conn, "QUERY s%d-%d READ 1a4\r\n", i, n); err != nil {
				return
			}
		}
	})
	w.check()
}

func TestLargestStatementsSentAheadWithoutReading(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.each(func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, connectMessage)
		for n := range 20 {
			if _, err := io.WriteString(conn, largestWrite(fmt.Sprintf("a%d-%d", i, n))); err != nil {
				return
			}
		}
	})
	w.check()
}

// The answers are of the largest legal size: what piles up is the VM's, not the caller's.
func TestLargestAnswersWithoutReading(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.each(func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, connectMessage)
		for n := range 20 {
			if _, err := io.WriteString(conn, largestRead(fmt.Sprintf("r%d-%d", i, n))); err != nil {
				return
			}
		}
	})
	w.check()
}

// Callers that read one byte at a time never stop to read.
func TestLargestAnswersReadByteByByte(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.each(func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, connectMessage+largestRead(fmt.Sprintf("d%d", i)))
		b := make([]byte, 1)
		for {
			if _, err := conn.Read(b); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	w.check()
}

// Callers that don't read must not keep the connections to the members that their
// transactions hold.
func TestTransactionsWithoutReading(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyCallers)
	c.each(func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, connectMessage+fmt.Sprintf("QUERY b%d BEGIN\r\n", i))
		for n := range 20 {
			if _, err := io.WriteString(conn, largestRead(fmt.Sprintf("t%d-%d", i, n))); err != nil {
				return
			}
		}
	})
	w.check()
}

func TestSilentConnections(t *testing.T) {
	w := startWorld(t, 1, ample)
	connect(t, w.vms[0], callerPort, manyConnections).settle()
	w.check()
}

func TestIdleSessions(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyConnections)
	c.send(connectMessage)
	c.settle()
	w.check()
}

// Callers that send one byte at a time hold a connection each.
func TestByteByByte(t *testing.T) {
	w := startWorld(t, 1, ample)
	c := connect(t, w.vms[0], callerPort, manyConnections)
	c.each(func(_ int, conn net.Conn) {
		for _, b := range []byte(connectMessage + "QUERY y READ 1a4") {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	w.check()
}

// Callers that close their half of the connection, or reset it, while an answer is on its
// way leave nothing behind.
func TestHalfClosedAndReset(t *testing.T) {
	w := startWorld(t, 1, ample)
	v := w.vms[0]
	atRest := v.descriptors()
	for round := range 5 {
		c := connect(t, v, callerPort, manyCallers)
		c.each(func(i int, conn net.Conn) {
			_, _ = io.WriteString(conn, connectMessage+largestRead(fmt.Sprintf("c%d-%d", round, i)))
			tcp := conn.(*net.TCPConn)
			if i%2 == 0 {
				_ = tcp.CloseWrite()
				_, _ = io.Copy(io.Discard, tcp)
			} else {
				_ = tcp.SetLinger(0)
			}
			tcp.Close()
		})
	}
	v.awaitClosed(atRest)
	w.check()
}

func TestConnectAndLeave(t *testing.T) {
	w := startWorld(t, 1, ample)
	v := w.vms[0]
	atRest := v.descriptors()
	for range 20 {
		c := connect(t, v, callerPort, manyCallers)
		c.each(func(i int, conn net.Conn) {
			if i%2 == 0 {
				_, _ = io.WriteString(conn, connectMessage)
			}
			conn.Close()
		})
	}
	v.awaitClosed(atRest)
	w.check()
}

func TestPreparedNamesWithoutNumber(t *testing.T) {
	w := startWorld(t, 1, ample)
	sendAndRead(t, w.vms[0], func(n int) string {
		return fmt.Sprintf("QUERY p%d PARSE name%d READ %s\r\n", n, n, text(keptBytes))
	})
	w.check()
}

func TestSessionValuesWithoutNumber(t *testing.T) {
	w := startWorld(t, 1, ample)
	sendAndRead(t, w.vms[0], func(n int) string {
		return fmt.Sprintf("QUERY v%d SET name%d %s\r\n", n, n, text(keptBytes))
	})
	w.check()
}

const (
	// keptBytes is the length of a value, and keptNames is how many a caller sets.
	keptBytes = 16 << 10
	keptNames = 200
)

// sendAndRead has callers that read their answers send statements that the session keeps.
func sendAndRead(t *testing.T, v *vm, statement func(n int) string) {
	t.Helper()
	c := connect(t, v, callerPort, manyCallers/4)
	c.each(func(_ int, conn net.Conn) {
		in := bufio.NewReader(conn)
		message := connectMessage
		for n := range keptNames {
			if _, err := io.WriteString(conn, message); err != nil || !readReady(in) {
				return
			}
			message = statement(n)
		}
	})
}

// readReady reads up to the message that ends an answer.
func readReady(in *bufio.Reader) bool {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return false
		}
		if strings.HasPrefix(line, "READY") {
			return true
		}
	}
}

// Readiness is checked by a platform that connects anew; everybody else who reaches the
// port may connect too.
func TestSilentReadinessConnections(t *testing.T) {
	w := startWorld(t, 1, ample)
	connect(t, w.vms[0], readinessPort, manyConnections).settle()
	w.check()
	w.vms[0].awaitReady()
}

func TestSilentMetricsConnections(t *testing.T) {
	w := startWorld(t, 1, ample)
	connect(t, w.vms[0], metricsPort, manyConnections).settle()
	w.check()
}

// The headers of an HTTP request never end, and neither does its body.
func TestHTTPWithoutEnd(t *testing.T) {
	w := startWorld(t, 1, ample)
	const start = "GET /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n"
	for _, port := range []string{readinessPort, metricsPort} {
		header, body := connect(t, w.vms[0], port, manyCallers/2), connect(t, w.vms[0], port, manyCallers/2)
		header.send(start, text(900<<10))
		header.send(text(8 * maxMessageBytes))
		body.send(start, "\r\n", text(8*maxMessageBytes))
	}
	w.check()
	w.vms[0].awaitReady()
}

func TestSilentPeers(t *testing.T) {
	w := startWorld(t, 2, few)
	connect(t, w.vms[0], peerPort, manyConnections).settle()
	w.check()
}

// Whoever closes its connections for the crowd's sake must still serve a message of the
// largest legal size in calm.
func TestLargestStatementInCalm(t *testing.T) {
	w := startWorld(t, 2, few)
	for i, v := range w.vms {
		v.await("the largest statement is served", func() bool {
			conn, err := net.Dial("tcp", v.ip+":"+callerPort)
			if err != nil {
				return false
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(writeLimit))
			_, _ = io.WriteString(conn, connectMessage+largestWrite(fmt.Sprintf("l%d", i))+largestRead(fmt.Sprintf("k%d", i))+"TERM\r\n")
			answers, _ := io.ReadAll(conn)
			return countLines(answers, "COMPLETE ") == 2 && len(answers) > maxMessageBytes/2
		})
	}
	w.check()
}

// countLines returns how many lines begin with a prefix.
func countLines(text []byte, prefix string) int {
	n := 0
	for _, line := range bytes.Split(text, []byte("\r\n")) {
		if bytes.HasPrefix(line, []byte(prefix)) {
			n++
		}
	}
	return n
}
