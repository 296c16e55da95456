package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one fault in a text. Line and Column count from 1 and are 0 if the
// position is unknown.
type Problem struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key"`
	Message string `json:"message"`
	Fix     string `json:"fix"`
}

// String renders the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("line %d, column %d: %s: %s; fix: %s", p.Line, p.Column, p.Key, p.Message, p.Fix)
}

// Problems is the error of a failed decoding or validation.
type Problems []Problem

// Error implements error, with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}
