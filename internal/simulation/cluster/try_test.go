package cluster

import (
	"fmt"
	"testing"
	"time"
)

func TestTry(t *testing.T) {
	seeds := environment("TRY", 0)
	first := environment("TRY_FIRST", 1)
	for s := first; s < first+seeds; s++ {
		b := time.Now()
		r := Run(s, Options{Quiet: environment("TRY_QUIET", 0) == 1})
		fmt.Println(time.Since(b), r)
	}
}
