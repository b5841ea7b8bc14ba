# Reads the output of go test and passes over the failures that KNOWN-RED.txt
# lists in lines of the form
#
#	pass over: PACKAGE TEST: TEXT
#
# A package's failure is passed over if each of its failed tests is listed, or
# is the parent of a listed one that failed, and the package's output holds
# TEXT. It prints what it passes over, and exits with 1 on any other failure:
# one that is not listed, a panic, a data race, a package that doesn't build.
#
#	awk -v known=KNOWN-RED.txt -f red.awk OUTPUT
BEGIN {
	while ((getline line < known) > 0) {
		if (line !~ /^ *pass over: /) continue
		sub(/^ *pass over: /, "", line)
		text = line
		sub(/: .*/, "", line)
		sub(/^[^:]*: /, "", text)
		split(line, word, " ")
		want[word[1] " " word[2]] = text
	}
}
{ block = block $0 "\n" }
/^ *--- FAIL: / {
	name = $0
	sub(/^ *--- FAIL: /, "", name)
	sub(/ .*/, "", name)
	failed[name] = 1
}
/^(panic: |fatal error: |WARNING: DATA RACE)/ { broken = 1 }
/^ok  *\t|^\?  *\t|^---$/ { reset() }
/^FAIL\t/ { judge($2); reset() }
END {
	if (red == 0 && passed == 0) { print "go test failed without naming a test"; red = 1 }
	exit red > 0
}
function reset() { block = ""; broken = 0; split("", failed) }
function judge(pkg,    name, n, other, listed, bad) {
	sub(/^bronzedoor.dev\/bronzedoor\//, "", pkg)
	n = 0
	bad = broken
	for (name in failed) {
		n++
		listed = (pkg " " name in want) && index(block, want[pkg " " name]) > 0
		for (other in failed)
			if (index(other, name "/") == 1 && (pkg " " other in want)) listed = 1
		if (!listed) bad = 1
	}
	if (n == 0 || bad) { print "failed: " pkg; red++; return }
	for (name in failed) print "known red, passed over: " pkg " " name
	passed++
}
