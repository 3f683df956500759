package bench_test

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rawCaller is a caller with next to no memory of its own.
type rawCaller struct{ net.Conn }

func dialRaw(b *testing.B, address string) *rawCaller {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "bench", "database": "ledger1.db1"},
	}
	bytes, err := startup.Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := conn.Write(bytes); err != nil {
		b.Fatal(err)
	}
	// The answer ends with ReadyForQuery: 'Z', its length, and 'I'.
	tail := make([]byte, 1)
	last := byte(0)
	for last != 'Z' || tail[0] != 0 {
		last = tail[0]
		if _, err := conn.Read(tail); err != nil {
			b.Fatal(err)
		}
	}
	rest := make([]byte, 4)
	if _, err := conn.Read(rest); err != nil {
		b.Fatal(err)
	}
	return &rawCaller{conn}
}
