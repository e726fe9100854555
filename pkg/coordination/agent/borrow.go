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

// borrowState is the state of the loans that this host requests.
type borrowState struct {
	nextLoan id.Loan
	pending  map[id.Account]pendingLoan
	// waiters counts the requests of each account that wait for a loan.
	waiters map[id.Account]int
	// decided holds a channel for each account with waiting requests. It is closed and
	// removed when the loan request has been decided.
	decided map[id.Account]chan struct{}
}

// pendingLoan is a loan that was requested and not answered yet.
type pendingLoan struct {
	loan   id.Loan
	lender id.Host
	sent   clock.Instant
}

// loansPerIncarnation keeps the loan identifiers of successive incarnations apart.
const loansPerIncarnation = 1 << 20

func newBorrowState(inc id.Incarnation) borrowState {
	return borrowState{nextLoan: id.Loan(inc) * loansPerIncarnation, pending: map[id.Account]pendingLoan{}, waiters: map[id.Account]int{}, decided: map[id.Account]chan struct{}{}}
}

// Parameters of borrowing.
const (
	// borrowThreshold is the time that the available tokens should last at the current
	// demand; below it a loan is requested.
	borrowThreshold = 150 * time.Millisecond
	// loanCoverage is the time that the tokens should last with the loan.
	loanCoverage = 400 * time.Millisecond
	// lenderReserve is the time for which a lender's tokens must still cover the demand
	// of its own clients.
	lenderReserve = 200 * time.Millisecond
	// shortDemandWindow is the time constant of the demand that determines loans, and
	// longDemandWindow that of the demand that determines shares.
	shortDemandWindow = 2 * time.Second
	longDemandWindow  = 8 * time.Second
	// minSampleInterval is the shortest time between two samples of demand.
	minSampleInterval = 100 * time.Millisecond
)

// demandMeter measures the demand of one account's clients.
type demandMeter struct {
	// requested is the total amount requested until the last sample.
	requested unit.Tokens
	sampledAt clock.Instant
	// shortTerm and longTerm are rates in unit.Tokens per second.
	shortTerm float64
	longTerm  float64
}

func (m *demandMeter) sample(requested unit.Tokens, now clock.Instant) {
	elapsed := now.Sub(m.sampledAt)
	rate := float64(requested-m.requested) / elapsed.Seconds()
	m.shortTerm += min(1, float64(elapsed)/float64(shortDemandWindow)) * (rate - m.shortTerm)
	m.longTerm += min(1, float64(elapsed)/float64(longDemandWindow)) * (rate - m.longTerm)
	m.requested, m.sampledAt = requested, now
}

// measureDemand samples the demand of all accounts. It also makes the burst that was
// reserved for expired loans to others usable again.
func (a *Agent) measureDemand(now clock.Instant) {
	for _, account := range a.view.Pool.Keys() {
		a.view.Pool.Bucket(account).Reclaim(now)
		meter := a.demandMeters[account]
		if meter == nil {
			a.demandMeters[account] = &demandMeter{sampledAt: now}
			continue
		}
		if now.Sub(meter.sampledAt) < minSampleInterval {
			continue
		}
		requested, _ := a.view.Pool.Bucket(account).Counts()
		meter.sample(requested, now)
	}
}

func (a *Agent) shortTermDemand(account id.Account) unit.Tokens {
	if m := a.demandMeters[account]; m != nil {
		return unit.Tokens(m.shortTerm)
	}
	return 0
}

func (a *Agent) ownBudgetReports(now clock.Instant) []BudgetReport {
	var out []BudgetReport
	for _, row := range a.replica.Rows(table.BudgetPrefix) {
		out = append(out, a.ownBudgetReport(now, row.Budget.Account))
	}
	return out
}

// ownBudgetReport returns this host's report about one account's budget. A reduced
// share is not reported as applied while loans to others exceed its burst, because the
// controller may grant the difference to other hosts once it is reported as applied.
func (a *Agent) ownBudgetReport(now clock.Instant, account id.Account) BudgetReport {
	report := BudgetReport{Account: account}
	if m := a.demandMeters[account]; m != nil {
		report.Demand = unit.Tokens(m.longTerm)
	}
	b := a.view.Pool.Bucket(account)
	if b == nil {
		return report
	}
	if b.WithinShare(now) {
		report.AppliedRevision = a.appliedRevisions[account]
	}
	if a.sharesLease.Valid(now) {
		report.Lendable = b.OwnLevel(now)
	}
	return report
}

// borrowAhead requests loans for the accounts that are about to run out of tokens.
func (a *Agent) borrowAhead(now clock.Instant) {
	if !a.canBorrow(now) {
		return
	}
	for _, account := range slices.Sorted(slices.Values(a.view.Pool.Keys())) {
		a.requestLoan(now, account)
	}
}

// canBorrow reports whether this host could spend a loan.
func (a *Agent) canBorrow(now clock.Instant) bool {
	return a.view.KeyedLease.Valid(now) && a.sharesLease.Valid(now) && a.lease.stoppedAt == 0
}

// requestLoan requests a loan if requests wait for one, or if the tokens of the account
// run low. It has no effect while a loan request is pending that is not older than half
// of CallTimeout.
func (a *Agent) requestLoan(now clock.Instant, account id.Account) {
	if pending, ok := a.borrow.pending[account]; ok {
		if now.Sub(pending.sent) < a.timing.CallTimeout/2 {
			return
		}
		a.closeLoanRequest(account)
	}
	demand := a.shortTermDemand(account)
	waiting := unit.Whole(int64(a.borrow.waiters[account]))
	level := a.view.Pool.Bucket(account).Level(now)
	if waiting == 0 && level >= reserveFor(demand) {
		return
	}
	amount := roundUpToWhole(unit.Over(demand, loanCoverage) + waiting - level)
	lender, spare := a.bestLender(now, account, amount)
	if spare < unit.Token {
		a.closeLoanRequest(account)
		return
	}
	a.borrow.nextLoan++
	loan := a.borrow.nextLoan
	a.borrow.pending[account] = pendingLoan{loan: loan, lender: lender, sent: now}
	a.send(lender, Message{Borrow: &Borrow{Loan: loan, Account: account, Amount: amount}})
}

// minReserveDemand is the demand, in tokens per second, from which a loan is
// requested before a request needs it.
const minReserveDemand = 2 * unit.Token

// reserveFor returns the level below which a loan is requested in advance.
func reserveFor(demand unit.Tokens) unit.Tokens {
	if demand < minReserveDemand {
		return 0
	}
	return max(unit.Over(demand, borrowThreshold), unit.Token)
}

// roundUpToWhole rounds up to whole tokens, because a fraction of a token admits no
// request.
func roundUpToWhole(t unit.Tokens) unit.Tokens {
	return max(1, (t+unit.Token-1)/unit.Token) * unit.Token
}

// bestLender returns the live host that can spare the most tokens, and how many. A
// host of the same region that can spare the whole amount is preferred.
func (a *Agent) bestLender(now clock.Instant, account id.Account, amount unit.Tokens) (id.Host, unit.Tokens) {
	var best id.Host
	var bestSpare unit.Tokens
	bestPreferred := false
	for h, p := range a.peers {
		if p.leaving || !a.tracker.InContact(h, now) {
			continue
		}
		report := p.budgetReports[account]
		spare := report.Lendable - unit.Over(report.Demand, lenderReserve)
		if spare < unit.Token {
			continue
		}
		preferred := p.region == a.self.Region && spare >= amount
		better := spare > bestSpare || (spare == bestSpare && h < best)
		if (preferred && !bestPreferred) || (preferred == bestPreferred && better) {
			best, bestSpare, bestPreferred = h, spare, preferred
		}
	}
	return best, bestSpare
}

// lend answers a Borrow with the tokens that this host can spare. The lender reserves
// them until after the borrower's loan has expired: it counts LoanDuration from the
// receipt of the Borrow, not from when it was sent, and adds clockMargin.
func (a *Agent) lend(now clock.Instant, from id.Host, request *Borrow) {
	reply := Loan{Loan: request.Loan, Account: request.Account}
	b := a.view.Pool.Bucket(request.Account)
	if b != nil && a.sharesLease.Valid(now) && a.lease.stoppedAt == 0 {
		reserve := unit.Over(a.shortTermDemand(request.Account), lenderReserve)
		until := now.Add(a.timing.LoanDuration + clockMargin)
		loanRequest := budget.LoanRequest[unit.Tokens]{ID: request.Loan, To: from, Amount: request.Amount, Granularity: unit.Token}
		reply.Amount = b.Lend(loanRequest, reserve, now, until)
	}
	a.send(from, Message{Loan: &reply})
}

// receiveLoan adds a loan to the account's budget. It also subtracts the loan from the
// lender's reported Lendable, which becomes 0 if the lender lent nothing, so that the
// next request goes to the best lender even before the next report.
func (a *Agent) receiveLoan(now clock.Instant, from id.Host, loan *Loan) {
	pending, ok := a.borrow.pending[loan.Account]
	if !ok || pending.loan != loan.Loan || pending.lender != from {
		return
	}
	if p := a.peers[from]; p != nil {
		report := p.budgetReports[loan.Account]
		report.Lendable = max(0, report.Lendable-loan.Amount)
		if loan.Amount == 0 {
			report.Lendable = 0
		}
		p.budgetReports[loan.Account] = report
	}
	until := pending.sent.Add(a.timing.LoanDuration)
	if b := a.view.Pool.Bucket(loan.Account); b != nil && loan.Amount > 0 && now <= until {
		b.Receive(loan.Loan, from, loan.Amount, now, pending.sent.Add(a.timing.LoanDuration/2), until)
	}
	a.closeLoanRequest(loan.Account)
	if loan.Amount < unit.Token && a.borrow.waiters[loan.Account] > 0 {
		a.requestLoan(now, loan.Account)
	}
}

// repayLoans reports loans that have ended to their lenders.
func (a *Agent) repayLoans(now clock.Instant) {
	for _, account := range slices.Sorted(slices.Values(a.view.Pool.Keys())) {
		for _, s := range a.view.Pool.Bucket(account).Settle(now) {
			a.send(s.Lender, Message{Repay: &Repay{Loan: s.Loan, Account: account, Unspent: s.Unspent}})
		}
	}
}

func (a *Agent) receiveRepay(now clock.Instant, from id.Host, repay *Repay) {
	if b := a.view.Pool.Bucket(repay.Account); b != nil {
		b.ApplyRepayment(repay.Loan, from, repay.Unspent, now)
	}
}

// closeLoanRequest removes the pending loan of an account and wakes the requests that
// wait for it.
func (a *Agent) closeLoanRequest(account id.Account) {
	delete(a.borrow.pending, account)
	if ch := a.borrow.decided[account]; ch != nil {
		close(ch)
		delete(a.borrow.decided, account)
	}
}

// AwaitLoan registers a request that found no tokens in the account's budget, and
// requests a loan at once. The channel is closed when the loan has been decided, and
// the request can then try again. The caller must call EndLoanWait when the request
// stops waiting, for whatever reason.
//
// The channel is nil if this host cannot borrow, or knows no host with tokens to spare.
// In that case the caller must not call EndLoanWait.
func (a *Agent) AwaitLoan(now clock.Instant, account id.Account) (<-chan struct{}, Output) {
	if a.view.Pool.Bucket(account) == nil || !a.canBorrow(now) {
		return nil, a.takeOutput()
	}
	a.borrow.waiters[account]++
	if _, pending := a.borrow.pending[account]; !pending {
		a.requestLoan(now, account)
	}
	if _, pending := a.borrow.pending[account]; !pending {
		a.EndLoanWait(account)
		return nil, a.takeOutput()
	}
	ch := a.borrow.decided[account]
	if ch == nil {
		ch = make(chan struct{})
		a.borrow.decided[account] = ch
	}
	return ch, a.takeOutput()
}

// EndLoanWait ends the wait of one request that AwaitLoan registered.
func (a *Agent) EndLoanWait(account id.Account) {
	if a.borrow.waiters[account] > 0 {
		a.borrow.waiters[account]--
	}
}
