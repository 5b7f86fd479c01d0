package config

import (
	"slices"
	"strings"
)

// maxCells bounds the table of the line comparison; beyond it all lines between the equal ends are shown as replaced.
const maxCells = 4 << 20

// DiffLines returns the lines that differ between two bodies: "-" for those only in the first, "+" for those only in
// the second.
func DiffLines(one, other []byte) string {
	left, right := lines(one), lines(other)
	left, right = trimCommonPrefix(left, right)
	slices.Reverse(left)
	slices.Reverse(right)
	left, right = trimCommonPrefix(left, right)
	slices.Reverse(left)
	slices.Reverse(right)
	var out strings.Builder
	if len(left)*len(right) > maxCells {
		writeLines(&out, "-", left)
		writeLines(&out, "+", right)
		return out.String()
	}
	writeDiff(&out, left, right)
	return out.String()
}

func lines(body []byte) []string {
	if len(body) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(body), "\n"), "\n")
}

func trimCommonPrefix(left, right []string) ([]string, []string) {
	for len(left) > 0 && len(right) > 0 && left[0] == right[0] {
		left, right = left[1:], right[1:]
	}
	return left, right
}

func writeLines(out *strings.Builder, sign string, list []string) {
	for _, line := range list {
		out.WriteString(sign + " " + line + "\n")
	}
}

// writeDiff walks along a longest common subsequence of the lines.
func writeDiff(out *strings.Builder, left, right []string) {
	common := commonSuffixLengths(left, right)
	row, column := 0, 0
	for row < len(left) && column < len(right) {
		switch {
		case left[row] == right[column]:
			row++
			column++
		case common[row+1][column] >= common[row][column+1]:
			writeLines(out, "-", left[row:row+1])
			row++
		default:
			writeLines(out, "+", right[column:column+1])
			column++
		}
	}
	writeLines(out, "-", left[row:])
	writeLines(out, "+", right[column:])
}

// commonSuffixLengths returns, for each pair of line numbers, how many lines the rests after them have in common.
func commonSuffixLengths(left, right []string) [][]int32 {
	common := make([][]int32, len(left)+1)
	common[len(left)] = make([]int32, len(right)+1)
	for row := len(left) - 1; row >= 0; row-- {
		common[row] = make([]int32, len(right)+1)
		for column := len(right) - 1; column >= 0; column-- {
			if left[row] == right[column] {
				common[row][column] = common[row+1][column+1] + 1
				continue
			}
			common[row][column] = max(common[row+1][column], common[row][column+1])
		}
	}
	return common
}
