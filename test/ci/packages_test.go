package ci

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a build that needs more of the system than deploy/system.toml says: a clean checkout is built, without
// any build cache, with a PATH that holds only the Go tool chain and the programs of the listed packages, of what they
// depend on and of Debian's essential packages. Headers and libraries aren't found by PATH, so the compiler is asked to
// list those that it reads. And against a list that names more than is needed: without any one of its packages, some
// file that the build used is of no package that is left.
func TestDeployBuildNeedsOnlyThePackagesListed(t *testing.T) {
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		t.Skip("not checked: this system's packages aren't Debian's, dpkg-query is not there")
	}
	installed := installedPackages(t)
	line, listed := systemBuild(t)
	for _, name := range listed {
		require.Contains(t, installed, name, "packages of deploy/system.toml must be installed for this test")
	}

	allowed := closure(installed, listed)
	used := append(build(t, line, programs(t, allowed)), rootCertificate(t))
	files := filesOf(t, allowed)
	for _, file := range used {
		assert.True(t, files[file], "the build uses %s, which is of none of the packages listed", file)
	}
	for i, name := range listed {
		others := append(append([]string{}, listed[:i]...), listed[i+1:]...)
		left := filesOf(t, closure(installed, others))
		spared := true
		for _, file := range used {
			spared = spared && left[file]
		}
		assert.False(t, spared, "the build uses no file of %s that the other packages do not have", name)
	}
}

// systemBuild returns the build command of deploy/system.toml and the packages that it is said to need.
func systemBuild(t *testing.T) (command string, packages []string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "system.toml"))
	require.NoError(t, err)
	found := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(text)
	require.NotNil(t, found, "deploy/system.toml has a build line")
	command = string(found[1])
	found = regexp.MustCompile(`(?m)^packages = \[(.*)\]$`).FindSubmatch(text)
	require.NotNil(t, found, "deploy/system.toml lists its packages")
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(found[1], -1) {
		packages = append(packages, string(name[1]))
	}
	return command, packages
}

// debianPackage is what dpkg knows of an installed package.
type debianPackage struct {
	name      string // with the architecture, where dpkg asks for it
	needs     []string
	essential bool
}

// installedPackages returns the installed packages, by their names and by those that they provide.
func installedPackages(t *testing.T) map[string][]*debianPackage {
	t.Helper()
	const format = `${db:Status-Status}\t${binary:Package}\t${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n`
	out, err := exec.CommandContext(t.Context(), "dpkg-query", "-W", "-f", format).Output()
	require.NoError(t, err)
	packages := map[string][]*debianPackage{}
	for _, line := range strings.Split(strings.TrimRight(string(out), "\n"), "\n") {
		fields := strings.Split(line, "\t")
		if fields[0] != "installed" {
			continue
		}
		added := &debianPackage{name: fields[1], essential: fields[3] == "yes", needs: packageNames(fields[4])}
		for _, name := range append(packageNames(fields[5]), fields[2]) {
			packages[name] = append(packages[name], added)
		}
	}
	return packages
}

// packageNames returns the names in a list as dpkg gives it, such as "libc6 (>= 2.34), gcc:any | tcc". Of alternatives
// all are returned.
func packageNames(list string) []string {
	var names []string
	for _, entry := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == '|' }) {
		name, _, _ := strings.Cut(strings.TrimSpace(entry), " ")
		name, _, _ = strings.Cut(name, ":")
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// closure returns the named packages, the essential ones, and all that these depend on.
func closure(installed map[string][]*debianPackage, names []string) map[string]bool {
	found := map[string]bool{}
	var add func(name string)
	add = func(name string) {
		for _, p := range installed[name] {
			if !found[p.name] {
				found[p.name] = true
				for _, needed := range p.needs {
					add(needed)
				}
			}
		}
	}
	for _, name := range names {
		add(name)
	}
	for name, packages := range installed {
		for _, p := range packages {
			if p.essential {
				add(name)
			}
		}
	}
	return found
}

// pathsOf returns the paths of packages' files, as the packages give them.
func pathsOf(t *testing.T, packages map[string]bool) []string {
	t.Helper()
	arguments := []string{"-L"}
	for name := range packages {
		arguments = append(arguments, name)
	}
	out, err := exec.CommandContext(t.Context(), "dpkg-query", arguments...).Output()
	require.NoError(t, err)
	return strings.Split(string(out), "\n")
}

// filesOf returns the files of packages, without symbolic links in their paths.
func filesOf(t *testing.T, packages map[string]bool) map[string]bool {
	t.Helper()
	files := map[string]bool{}
	for _, path := range pathsOf(t, packages) {
		if real, err := filepath.EvalSymlinks(path); err == nil {
			files[real] = true
		}
	}
	return files
}

// programs makes a folder of links to the programs of packages, under the names that the packages give them.
func programs(t *testing.T, packages map[string]bool) (folder string) {
	t.Helper()
	folder = t.TempDir()
	for _, path := range pathsOf(t, packages) {
		if base := filepath.Base(filepath.Dir(path)); base != "bin" && base != "sbin" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil || !info.Mode().IsRegular() || info.Mode()&0o111 == 0 {
			continue
		}
		if err := os.Symlink(path, filepath.Join(folder, filepath.Base(path))); err != nil {
			require.ErrorIs(t, err, fs.ErrExist)
		}
	}
	return folder
}

// build runs a build command in a clean copy of the repository. It returns the files of the system that the compiler
// read and the programs that it called.
func build(t *testing.T, command, folder string) (used []string) {
	t.Helper()
	tree, scratch := t.TempDir(), t.TempDir()
	copyRepository(t, tree)
	// The tool chain looks for git where it sees this folder, and must do without.
	require.NoError(t, os.Mkdir(filepath.Join(tree, ".git"), 0o755))
	headers, inputs := filepath.Join(scratch, "headers"), filepath.Join(scratch, "inputs")

	shell := exec.CommandContext(t.Context(), filepath.Join(folder, "sh"), "-c", command)
	shell.Dir = tree
	shell.Env = []string{
		"PATH=" + folder + ":" + filepath.Join(goEnv(t, "GOROOT"), "bin"),
		"HOME=" + scratch, "GOENV=off", "GOTOOLCHAIN=local",
		"GOCACHE=" + filepath.Join(scratch, "cache"), "GOMODCACHE=" + goEnv(t, "GOMODCACHE"), "GOPROXY=" + goEnv(t, "GOPROXY"),
		"SUNPRO_DEPENDENCIES=" + headers, "CGO_LDFLAGS=-Wl,--dependency-file=" + inputs,
	}
	out, err := shell.CombinedOutput()
	require.NoError(t, err, "%s: %s", command, out)
	require.FileExists(t, filepath.Join(tree, "target", "ospreypond"))

	paths := append(mustRead(t, headers), mustRead(t, inputs)...)
	for _, name := range []string{"cc1", "collect2", "as", "ld"} {
		shell := exec.CommandContext(t.Context(), filepath.Join(folder, "gcc"), "-print-prog-name="+name)
		shell.Env = []string{"PATH=" + folder}
		out, err := shell.Output()
		require.NoError(t, err)
		path := strings.TrimSpace(string(out))
		if !filepath.IsAbs(path) {
			path = filepath.Join(folder, path)
		}
		paths = append(paths, path)
	}
	known := map[string]bool{}
	for _, path := range paths {
		real, err := filepath.EvalSymlinks(strings.TrimSuffix(path, ":"))
		if err != nil || !filepath.IsAbs(real) || known[real] || ofTheToolChain(t, real, scratch) {
			continue
		}
		known[real] = true
		used = append(used, real)
	}
	require.Contains(t, strings.Join(used, "\n"), "stdlib.h", "the compiler has listed the headers")
	require.Contains(t, strings.Join(used, "\n"), "crt1.o", "the linker has listed its inputs")
	return used
}

// rootCertificate returns one of the files by which the tool chain trusts a module proxy: where the module cache is empty,
// the build downloads its modules over TLS. The cache is not emptied here, so the file is looked for instead.
func rootCertificate(t *testing.T) string {
	t.Helper()
	links, err := filepath.Glob("/etc/ssl/certs/*.pem")
	require.NoError(t, err)
	for _, link := range links {
		real, err := filepath.EvalSymlinks(link)
		if err == nil && strings.HasPrefix(real, "/usr/share/ca-certificates/") {
			return real
		}
	}
	require.Fail(t, "no root certificates of Debian are installed")
	return ""
}

// ofTheToolChain tells of files that come with Go, or that the build has made.
func ofTheToolChain(t *testing.T, path, scratch string) bool {
	t.Helper()
	for _, folder := range []string{goEnv(t, "GOROOT"), scratch, os.TempDir()} {
		real, err := filepath.EvalSymlinks(folder)
		require.NoError(t, err)
		if strings.HasPrefix(path, real+string(filepath.Separator)) {
			return true
		}
	}
	return false
}

// mustRead returns the words of a file of dependencies as the compiler writes them.
func mustRead(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return strings.Fields(strings.ReplaceAll(string(text), "\\\n", " "))
}

func goEnv(t *testing.T, name string) string {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), "go", "env", name).Output()
	require.NoError(t, err)
	return strings.TrimSpace(string(out))
}

// copyRepository copies what a clean checkout has of sources, but not what builds and plays have left.
func copyRepository(t *testing.T, to string) {
	t.Helper()
	root := filepath.Join("..", "..")
	for _, name := range []string{"go.mod", "go.sum", "cmd", "internal", "policy"} {
		from := filepath.Join(root, name)
		info, err := os.Stat(from)
		require.NoError(t, err)
		if info.IsDir() {
			require.NoError(t, os.CopyFS(filepath.Join(to, name), os.DirFS(from)))
			continue
		}
		text, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(to, name), text, 0o600))
	}
}
