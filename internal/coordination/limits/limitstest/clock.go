// Package limitstest has a clock for retry budgets in tests.
package limitstest

import "time"

// Clock returns the time since a fixed moment. In a synctest bubble it is that of the bubble.
func Clock() time.Duration { return time.Since(time.Unix(0, 0)) }
