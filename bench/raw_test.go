package bench_test

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rawCaller is a caller's connection that uses less memory than a PostgreSQL driver's.
type rawCaller struct{ net.Conn }

// dialRaw connects to a VM and logs in.
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
	message, err := startup.Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := conn.Write(message); err != nil {
		b.Fatal(err)
	}
	// The answer ends with ReadyForQuery: 'Z', the length 5 in four bytes, and 'I'. The
	// loop stops at the first byte of the length. It assumes that no earlier message has
	// 'Z' followed by a zero byte.
	current := make([]byte, 1)
	previous := byte(0)
	for previous != 'Z' || current[0] != 0 {
		previous = current[0]
		if _, err := conn.Read(current); err != nil {
			b.Fatal(err)
		}
	}
	rest := make([]byte, 4)
	if _, err := conn.Read(rest); err != nil {
		b.Fatal(err)
	}
	return &rawCaller{conn}
}
