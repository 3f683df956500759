package remote

import (
	"net/rpc"
	"time"
)

// Open begins a transaction at the VM. Nothing is sent before its first statement. It
// returns ErrNotSent without a usable connection.
func (client *Client) Open() (*ClientTransaction, error) {
	current := client.connection()
	if current == nil {
		return nil, ErrNotSent
	}
	return &ClientTransaction{client: client, conn: current, id: current.transactions.Add(1)}, nil
}

// ClientTransaction is a transaction that is open at another VM.
type ClientTransaction struct {
	client *Client
	conn   *conn
	id     uint64
	// isBegun is set once the first statement was sent.
	isBegun bool
}

// VM returns the ID of the VM.
func (transaction *ClientTransaction) VM() string { return transaction.client.vm }

// Forward runs a statement of the transaction. The errors are ErrSilent and ErrLost.
func (transaction *ClientTransaction) Forward(request Request, timeout time.Duration) (Reply, error) {
	request.Transaction, request.IsFirst = transaction.id, !transaction.isBegun
	transaction.isBegun = true
	return transaction.client.forward(transaction.conn, request, timeout)
}

// Abort rolls the transaction back, without waiting for that.
func (transaction *ClientTransaction) Abort() {
	transaction.conn.client.Go(serviceName+".Abort", &transaction.id, new(bool), make(chan *rpc.Call, 1))
}
