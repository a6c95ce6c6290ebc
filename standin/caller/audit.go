package caller

import "fmt"

// Audit compares the outcomes reported to callers with how often each nonce ran
// on all workers together, and returns a line for each violated guarantee.
func Audit(tries []Try, runs map[string]int) []string {
	var violations []string
	runsByRequest := make(map[string]int)
	for _, t := range tries {
		ran := runs[t.Nonce]
		runsByRequest[t.Request] += ran
		violations = append(violations, auditTry(t, ran)...)
	}
	reported := make(map[string]bool)
	for _, t := range tries {
		if t.Idempotent || runsByRequest[t.Request] <= 1 || reported[t.Request] {
			continue
		}
		reported[t.Request] = true
		violations = append(violations, fmt.Sprintf("request=%s ran=%d, not idempotent", t.Request, runsByRequest[t.Request]))
	}
	return violations
}

func auditTry(t Try, ran int) []string {
	switch {
	case t.Outcome == Refused && ran > 0:
		return []string{fmt.Sprintf("nonce=%s ran=%d, told not run", t.Nonce, ran)}
	case (t.Outcome == Answered || t.Outcome == Failed) && ran == 0:
		return []string{fmt.Sprintf("nonce=%s ran=0, told answered", t.Nonce)}
	case t.Outcome == Foreign:
		return []string{fmt.Sprintf("nonce=%s got another request's answer", t.Nonce)}
	default:
		return nil
	}
}
