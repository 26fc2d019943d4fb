package usage

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Message is what one VM sends to another about the caps that they share: Asks,
// Collects and Returns in a question, Grants and Loans in its answer.
type Message struct {
	// Incarnation numbers the processes of the sender; 0 if it is not known.
	Incarnation ident.Incarnation
	// Restarted is true if an earlier process of the sender may have lent its shares to
	// the receiver. The receiver drops them.
	Restarted bool
	Asks      []Ask
	// Collects holds the tenants whose shares the sender wants to borrow.
	Collects []ident.TenantID
	// Returns end loans that the sender no longer needs.
	Returns []Return
	Grants  []Grant
	Loans   []Loan
}

func (m *Message) empty() bool {
	return !m.Restarted && len(m.Asks)+len(m.Collects)+len(m.Returns) == 0
}

// An Ask requests tokens of a tenant from its grantor.
type Ask struct {
	Tenant ident.TenantID
	// Need is the number of requests that wait for a token.
	Need int
	// Spare is the number of further tokens that the sender expects to use, and Held the
	// tokens that it has.
	Spare int
	Held  ident.Tokens
}

// A Grant is the answer to an Ask.
type Grant struct {
	Tenant ident.TenantID
	Tokens int
	// Wait is the time until the next token is due to the asking VM; 0 if its need was met.
	Wait time.Duration
	// Collecting is true while the grantor has just begun to borrow the shares.
	Collecting bool
}

// A LoanNumber numbers the loans of one VM, in all its processes.
type LoanNumber uint64

// A Loan passes a VM's share of a cap to the grantor for the time of Lease, with the tokens
// that the VM does not need itself.
type Loan struct {
	Tenant ident.TenantID
	Number LoanNumber
	Rate   ident.Rate
	// Capacity is the most tokens that the share may hold, of which the lender keeps Held.
	Capacity, Held ident.Tokens
	Tokens         ident.Tokens
	Lease          time.Duration
}

// A Return ends a loan and gives the lender its part of the tokens of the pool.
type Return struct {
	Tenant ident.TenantID
	Number LoanNumber
	Tokens ident.Tokens
}

// An Exchange is a question to another VM. Its answer or its failure is passed to
// Ledger.Complete.
type Exchange struct {
	To      ident.VMID
	Address string
	Sent    ident.Instant
	Message Message
}

// A Decision ends the wait of a request.
type Decision struct {
	Query    ident.QueryID
	Admitted bool
	// Refusal is set if the request was not admitted.
	Refusal Refusal
}

// A Refusal describes why a request is over its tenant's cap.
type Refusal struct {
	// RetryAfter is when a token is due for the request.
	RetryAfter time.Duration
	Tokens     ident.Tokens
	// Age is the time since the grantor last answered; negative if it never did.
	Age     time.Duration
	Grantor ident.VMID
}
