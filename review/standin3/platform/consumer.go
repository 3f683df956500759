//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// consumer is one session of a consumer.
type consumer struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a consumer got for one request.
type answer struct {
	Code  string // empty for a success
	Text  string
	Rows  []string
	Proof string
	State string
}

var requestCount atomic.Uint64

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+requestCount.Add(1)) }

// connect opens a session; the answer has the code of a refusal.
func connect(address, database string) (*consumer, answer, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, answer{}, err
	}
	consumer := &consumer{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write([]byte("STARTUP " + database + " u3f1\r\n")); err != nil {
		_ = conn.Close()
		return nil, answer{}, err
	}
	line, err := readMessage(consumer.reader)
	if err != nil {
		_ = conn.Close()
		return nil, answer{}, err
	}
	if strings.HasPrefix(line, "READY") {
		return consumer, answer{}, nil
	}
	_ = conn.Close()
	fields := strings.SplitN(line+"  ", " ", 3)
	return nil, answer{Code: fields[1], Text: fields[2]}, nil
}

// ask sends a request and reads its answer within the consumer's time budget.
func (consumer *consumer) ask(id, text string, budget time.Duration) (answer, error) {
	var found answer
	_ = consumer.conn.SetDeadline(time.Now().Add(budget))
	if _, err := consumer.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return found, err
	}
	for {
		line, err := readMessage(consumer.reader)
		if err != nil {
			return found, err
		}
		keyword, rest, _ := strings.Cut(line, " ")
		switch keyword {
		case "DATAROW":
			found.Rows = append(found.Rows, rest)
		case "COMPLETE":
			found.Proof = rest
		case "ERROR":
			found.Code, found.Text, _ = strings.Cut(rest, " ")
		case "READY":
			found.State, _, _ = strings.Cut(rest, " ")
			return found, nil
		}
	}
}

func (consumer *consumer) close() { _ = consumer.conn.Close() }
