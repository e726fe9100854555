package agent

import (
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/unit"
)

// borrowState is the state of the loans that this host asks for.
type borrowState struct {
	nextLoan id.Loan
	open     map[id.Account]openLoan
	// waiting counts the requests of each account that wait for a loan.
	waiting map[id.Account]int
	// arrived is replaced and closed when a loan of the account has been decided.
	arrived map[id.Account]chan struct{}
}

// openLoan is a loan that was asked for and not answered yet.
type openLoan struct {
	loan   id.Loan
	lender id.Host
	sent   clock.Instant
}

// loansPerIncarnation keeps the loan identifiers of successive incarnations apart.
const loansPerIncarnation = 1 << 20

func newBorrowState(inc id.Incarnation) borrowState {
	return borrowState{nextLoan: id.Loan(inc) * loansPerIncarnation, open: map[id.Account]openLoan{}, waiting: map[id.Account]int{}, arrived: map[id.Account]chan struct{}{}}
}

// Times that shape borrowing, in terms of the host's own demand.
const (
	// lowWater is the time that the tokens at hand should last before a loan is asked for.
	lowWater = 150 * time.Millisecond
	// loanCover is the time that a loan should last.
	loanCover = 400 * time.Millisecond
	// reserveCover is the time for which a lender keeps tokens for its own callers.
	reserveCover = 200 * time.Millisecond
	// demandWindow is the time constant of the demand that loans follow, and
	// steadyWindow that of the demand that shares follow.
	demandWindow = 2 * time.Second
	steadyWindow = 8 * time.Second
	// meterInterval is the least time between two samples of demand.
	meterInterval = 100 * time.Millisecond
)

// demandMeter measures what callers of one account ask for, per second.
type demandMeter struct {
	wanted unit.Tokens
	at     clock.Instant
	demand float64
	steady float64
}

func (m *demandMeter) sample(wanted unit.Tokens, now clock.Instant) {
	elapsed := now.Sub(m.at)
	rate := float64(wanted-m.wanted) / elapsed.Seconds()
	m.demand += min(1, float64(elapsed)/float64(demandWindow)) * (rate - m.demand)
	m.steady += min(1, float64(elapsed)/float64(steadyWindow)) * (rate - m.steady)
	m.wanted, m.at = wanted, now
}

func (a *Agent) measureDemand(now clock.Instant) {
	for _, account := range a.view.Pool.Keys() {
		a.view.Pool.Bucket(account).Reclaim(now)
		m := a.demand[account]
		if m == nil {
			a.demand[account] = &demandMeter{at: now}
			continue
		}
		if now.Sub(m.at) < meterInterval {
			continue
		}
		wanted, _ := a.view.Pool.Bucket(account).Counts()
		m.sample(wanted, now)
	}
}

func (a *Agent) demandOf(account id.Account) unit.Tokens {
	if m := a.demand[account]; m != nil {
		return unit.Tokens(m.demand)
	}
	return 0
}

func (a *Agent) ownLevels(now clock.Instant) []BudgetReport {
	var out []BudgetReport
	for _, row := range a.replica.Rows(table.BudgetPrefix) {
		out = append(out, a.ownLevel(now, row.Budget.Account))
	}
	return out
}

func (a *Agent) ownLevel(now clock.Instant, account id.Account) BudgetReport {
	level := BudgetReport{Account: account}
	if m := a.demand[account]; m != nil {
		level.Demand = unit.Tokens(m.steady)
	}
	b := a.view.Pool.Bucket(account)
	if b == nil {
		return level
	}
	if b.WithinShare(now) {
		level.AppliedRevision = a.applied[account]
	}
	if a.shares.Valid(now) {
		level.Lendable = b.OwnLevel(now)
	}
	return level
}

// borrowAhead asks for loans for the accounts that are about to run dry.
func (a *Agent) borrowAhead(now clock.Instant) {
	if !a.mayBorrow(now) {
		return
	}
	for _, account := range slices.Sorted(slices.Values(a.view.Pool.Keys())) {
		a.borrowFor(now, account)
	}
}

// mayBorrow tells whether this host could spend a loan.
func (a *Agent) mayBorrow(now clock.Instant) bool {
	return a.view.KeyedLease.Valid(now) && a.shares.Valid(now) && a.lease.stopped == 0
}

func (a *Agent) borrowFor(now clock.Instant, account id.Account) {
	if open, ok := a.borrow.open[account]; ok {
		if now.Sub(open.sent) < a.timing.CallTimeout/2 {
			return
		}
		a.closeLoan(account)
	}
	demand := a.demandOf(account)
	waiting := unit.Whole(int64(a.borrow.waiting[account]))
	level := a.view.Pool.Bucket(account).Level(now)
	if waiting == 0 && level >= reserveOf(demand) {
		return
	}
	want := wholeUp(unit.Over(demand, loanCover) + waiting - level)
	lender, spare := a.bestLender(now, account, want)
	if spare < unit.Token {
		a.closeLoan(account)
		return
	}
	a.borrow.nextLoan++
	loan := a.borrow.nextLoan
	a.borrow.open[account] = openLoan{loan: loan, lender: lender, sent: now}
	a.send(lender, Message{Borrow: &Borrow{Loan: loan, Account: account, Amount: want}})
}

// steadyDemand is the demand, per second, from which tokens are kept at hand
// before a request needs them.
const steadyDemand = 2 * unit.Token

// reserveOf returns the level below which a loan is asked for ahead of need.
func reserveOf(demand unit.Tokens) unit.Tokens {
	if demand < steadyDemand {
		return 0
	}
	return max(unit.Over(demand, lowWater), unit.Token)
}

// wholeUp rounds up to whole tokens, because no part of one admits a request.
func wholeUp(t unit.Tokens) unit.Tokens {
	return max(1, (t+unit.Token-1)/unit.Token) * unit.Token
}

// bestLender returns the live host with the most to spare; one of the same
// region goes first if it has enough.
func (a *Agent) bestLender(now clock.Instant, account id.Account, want unit.Tokens) (id.Host, unit.Tokens) {
	var best id.Host
	var most unit.Tokens
	bestNear := false
	for h, p := range a.peers {
		if p.leaving || !a.tracker.InContact(h, now) {
			continue
		}
		level := p.levels[account]
		spare := level.Lendable - unit.Over(level.Demand, reserveCover)
		if spare < unit.Token {
			continue
		}
		near := p.region == a.self.Region && spare >= want
		better := spare > most || (spare == most && h < best)
		if (near && !bestNear) || (near == bestNear && better) {
			best, most, bestNear = h, spare, near
		}
	}
	return best, most
}

// lend answers a Borrow out of what this host can spare.
func (a *Agent) lend(now clock.Instant, from id.Host, ask *Borrow) {
	reply := Loan{Loan: ask.Loan, Account: ask.Account}
	b := a.view.Pool.Bucket(ask.Account)
	if b != nil && a.shares.Valid(now) && a.lease.stopped == 0 {
		keep := unit.Over(a.demandOf(ask.Account), reserveCover)
		until := now.Add(a.timing.Loan + margin)
		ask := budget.Loan[unit.Tokens]{ID: ask.Loan, To: from, Amount: ask.Amount, Granularity: unit.Token}
		reply.Amount = b.Lend(ask, keep, now, until)
	}
	a.send(from, Message{Loan: &reply})
}

func (a *Agent) receiveLoan(now clock.Instant, from id.Host, loan *Loan) {
	open, ok := a.borrow.open[loan.Account]
	if !ok || open.loan != loan.Loan || open.lender != from {
		return
	}
	if p := a.peers[from]; p != nil {
		level := p.levels[loan.Account]
		level.Lendable = max(0, level.Lendable-loan.Amount)
		if loan.Amount == 0 {
			level.Lendable = 0
		}
		p.levels[loan.Account] = level
	}
	until := open.sent.Add(a.timing.Loan)
	if b := a.view.Pool.Bucket(loan.Account); b != nil && loan.Amount > 0 && now <= until {
		b.Receive(loan.Loan, from, loan.Amount, now, open.sent.Add(a.timing.Loan/2), until)
	}
	a.closeLoan(loan.Account)
	if loan.Amount < unit.Token && a.borrow.waiting[loan.Account] > 0 {
		a.borrowFor(now, loan.Account)
	}
}

// repayLoans tells lenders of the loans that have ended.
func (a *Agent) repayLoans(now clock.Instant) {
	for _, account := range slices.Sorted(slices.Values(a.view.Pool.Keys())) {
		for _, s := range a.view.Pool.Bucket(account).Settle(now) {
			a.send(s.Lender, Message{Repay: &Repay{Loan: s.Loan, Account: account, Unspent: s.Unspent}})
		}
	}
}

func (a *Agent) receiveRepay(now clock.Instant, from id.Host, r *Repay) {
	if b := a.view.Pool.Bucket(r.Account); b != nil {
		b.ApplyRepayment(r.Loan, from, r.Unspent, now)
	}
}

// closeLoan forgets the open loan of an account and wakes who waits for it.
func (a *Agent) closeLoan(account id.Account) {
	delete(a.borrow.open, account)
	if ch := a.borrow.arrived[account]; ch != nil {
		close(ch)
		delete(a.borrow.arrived, account)
	}
}

// AwaitLoan registers a request that found the account's budget dry, and asks for
// a loan at once. The channel is closed when a loan has been decided; the
// request then tries again, and calls Resume in any case. The channel is nil
// if no host is known to have anything to spare.
func (a *Agent) AwaitLoan(now clock.Instant, account id.Account) (<-chan struct{}, Output) {
	if a.view.Pool.Bucket(account) == nil || !a.mayBorrow(now) {
		return nil, a.take()
	}
	a.borrow.waiting[account]++
	if _, open := a.borrow.open[account]; !open {
		a.borrowFor(now, account)
	}
	if _, open := a.borrow.open[account]; !open {
		a.EndLoanWait(account)
		return nil, a.take()
	}
	ch := a.borrow.arrived[account]
	if ch == nil {
		ch = make(chan struct{})
		a.borrow.arrived[account] = ch
	}
	return ch, a.take()
}

// EndLoanWait ends the wait of one request.
func (a *Agent) EndLoanWait(account id.Account) {
	if a.borrow.waiting[account] > 0 {
		a.borrow.waiting[account]--
	}
}
