// The commands that the pages show are run as the pages show them, and the template of the platform's settings is filled in
// as the platform does it.

#include "Fleet.h"

#include <LibHttp/Client.h>
#include <algorithm>
#include <array>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <sstream>

namespace {

using namespace Processes;

std::filesystem::path const sourceFolder = CURRANTVALE_SOURCE_DIR;

/// How a page's command is tried.
enum class Trial : std::uint8_t {
    Here,
    Elsewhere, ///< The check runs it as a step of its own, or it runs for minutes.
    OnKeyedStore, ///< TestSingletonDuties runs it.
};

struct PageCommand {
    std::string_view text; ///< As the page has it, without its comment.
    Trial trial;
};

/// All commands of the pages, in an order in which they can be run. One that is not here makes the test fail.
constexpr std::array<PageCommand, 23> pageCommands { {
    { "./Meta/demo.sh", Trial::Elsewhere },
    { "./Meta/demo.sh --keep", Trial::Elsewhere },
    { "./Meta/check.sh", Trial::Elsewhere },
    { "currantvale-measure", Trial::Elsewhere },
    { "currantvale-measure --scenario pensions/swing --plot swing.svg", Trial::Elsewhere },
    { "currantvale-measure --policy none --roles planner --seeds 3 --set roles.margin=2", Trial::Elsewhere },
    { "currantvale-measure --scenario flood --policy none --roles planner --seeds 3 --set admit.fair=1", Trial::Elsewhere },
    { "currantvale-measure --router-cost", Trial::Elsewhere },
    { "currantvale-measure --engines", Trial::Here },
    { "currantvale-measure --engines --seeds 10 --scenario bursts --plot engines.svg", Trial::Here },
    { "currantvale-measure --help", Trial::Here },
    { "curl http://127.0.0.1:8101/v1/entries", Trial::Here },
    { "currantctl get > fleet.ini", Trial::Here },
    { "currantctl diff fleet.ini", Trial::Here },
    { "currantctl apply fleet.ini --wait", Trial::Here },
    { "currantctl drain tanta-engine-1 --wait", Trial::Here },
    { "currantctl status", Trial::Here },
    { "currantctl explain --labels tier=night --path /v1/completions --model reasoning", Trial::Here },
    { "currantctl duties", Trial::OnKeyedStore },
    { "currantctl suspects", Trial::OnKeyedStore },
    { "currantctl limits", Trial::OnKeyedStore },
    { "currantctl paces", Trial::OnKeyedStore },
    { "currantctl story 811ff66a8cd5a520 front-*.log", Trial::Here },
} };

std::string readFile(std::filesystem::path const& name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::filesystem::path> pages()
{
    std::vector<std::filesystem::path> names { sourceFolder / "README.md" };
    for (std::filesystem::directory_entry const& it : std::filesystem::recursive_directory_iterator(sourceFolder / "docs")) {
        if (it.path().extension() == ".md")
            names.push_back(it.path());
    }
    return names;
}

/// Indented lines that begin with a program or script of ours, or with curl, less their comments.
std::vector<std::string> commandsOf(std::string const& page)
{
    static std::regex const command(R"(^    ((?:\./Meta/|Build/plain/bin/|currantctl|currantvale|curl )[^#]*?)\s*(?:#.*)?$)");
    std::vector<std::string> commands;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        std::smatch match;
        if (std::regex_match(line, match, command))
            commands.push_back(match[1]);
    }
    return commands;
}

std::string replaced(std::string text, std::string const& from, std::string const& to)
{
    std::size_t at = text.find(from);
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

/// A folder in which commands are run, with our programs on the path.
class Shell {
public:
    Shell()
    {
        std::string name = (std::filesystem::temp_directory_path() / "currantvale-pages-XXXXXX").string();
        if (!mkdtemp(name.data()))
            throw std::runtime_error("cannot make a folder");
        m_folder = name;
    }
    ~Shell()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }
    Shell(Shell const&) = delete;
    Shell& operator=(Shell const&) = delete;

    /// Runs a command and returns its exit status; -1 when it does not end.
    int run(std::string const& command)
    {
        std::string script = "export PATH=" CURRANTVALE_BINARY_DIR ":$PATH CURRANTCTL_SERVERS=" + servers + " CURRANTCTL_TOKEN_FILE=" + (m_folder / "token").string() + "; cd " + m_folder.string() + "; " + command;
        Process process({ "/bin/bash", "-c", script }, (m_folder / "out").string(), (m_folder / "err").string());
        if (!waitFor([&] { return process.status().has_value(); }))
            return -1;
        return *process.status();
    }

    void write(std::string const& name, std::string const& text) const { std::ofstream(m_folder / name) << text; }
    std::string printed() const { return readFile(m_folder / "out") + readFile(m_folder / "err"); }

    std::string servers;

private:
    std::filesystem::path m_folder;
};

/// A value for each field of the template, as the platform has them.
std::map<std::string, std::string> templateValues()
{
    std::map<std::string, std::string> values { { "node", "front-1" }, { "zone", "zone-a" }, { "region", "region-a" }, { "ip", "127.0.0.1" } };
    for (char const* name : { "listen.front", "listen.directory", "listen.ready", "provider.addr" })
        values[name] = Http::toString(freeEndpoint());
    for (char const* name : { "port_range.0", "port_range.1" })
        values[name] = std::to_string(freeEndpoint().port());
    for (char const* name : { "bounds.grace_s", "bounds.retry_budget_ratio", "bounds.budget_extra", "bounds.budget_window_s" })
        values[name] = "1";
    values["bounds.lease_ms"] = "3000";
    values["bounds.config_apply_ms"] = "2000";
    values["bounds.drain_ms"] = "2000";
    return values;
}

/// Runs a request through the first daemon and returns its id.
std::string runOneRequest(Fleet const& fleet)
{
    std::string body = R"({"model":")" + std::string(modelName) + R"(","prompt":"p","max_tokens":2,"stream":true})";
    Http::Response response = fetch(fleet.callers(0), { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body });
    return std::string(response.fields.find("X-Request-Id").value_or(""));
}

std::string fillCommand(std::map<std::string, std::string> const& values)
{
    std::string command = (sourceFolder / "Meta/fill-template.sh").string() + " " + (sourceFolder / "deploy/entry.ini").string();
    for (std::pair<std::string const, std::string> const& it : values)
        command.append(" ").append(it.first).append("=").append(it.second);
    return command;
}

}

TEST(PageCommands, EachIsKnownHere)
{
    std::size_t found = 0;
    for (std::filesystem::path const& page : pages()) {
        for (std::string const& command : commandsOf(readFile(page))) {
            ++found;
            EXPECT_TRUE(std::any_of(pageCommands.begin(), pageCommands.end(), [&](PageCommand const& it) { return it.text == command; })) << page << ": " << command;
        }
    }
    EXPECT_GE(found, 15U);
}

TEST(PageCommands, DoWhatThePagesSay)
{
    Fleet fleet;
    Shell shell;
    for (std::size_t n = 0; n < daemonCount; ++n)
        shell.servers += (n > 0 ? "," : "") + Http::toString(fleet.operators(n));
    shell.write("token", std::string(Fleet::operatorToken()) + "\n");
    std::string id = runOneRequest(fleet);
    ASSERT_TRUE(waitFor([&] { return !fleet.logLines(Fleet::daemonName(0), "name=request-finished request=" + id).empty(); }));
    std::string log;
    for (std::string const& line : fleet.logLines(Fleet::daemonName(0), id))
        log += line + "\n";
    shell.write("front-1.log", log);
    for (PageCommand const& it : pageCommands) {
        if (it.trial != Trial::Here)
            continue;
        std::string command = replaced(std::string(it.text), "tanta-engine-1", Fleet::engineName(0));
        command = replaced(command, "--model reasoning", "--model " + std::string(modelName));
        command = replaced(command, "127.0.0.1:8101", Http::toString(fleet.callers(0)));
        command = replaced(command, "811ff66a8cd5a520", id);
        EXPECT_EQ(shell.run(command), 0) << it.text << "\n"
                                         << shell.printed();
    }
}

TEST(DeployTemplate, FilledInItIsAGoodSettingsFile)
{
    Shell shell;
    ASSERT_EQ(shell.run(fillCommand(templateValues()) + " >entry.ini"), 0) << shell.printed();
    EXPECT_EQ(shell.run("currantvaled --settings entry.ini --check-settings"), 0) << shell.printed();
}

TEST(DeployTemplate, AFieldWithoutValueIsNamed)
{
    std::map<std::string, std::string> values = templateValues();
    std::string text = readFile(sourceFolder / "deploy/entry.ini");
    for (std::pair<std::string const, std::string> const& it : values) {
        EXPECT_NE(text.find("{{" + it.first + "}}"), std::string::npos) << "the template has no " << it.first;
        Shell shell;
        std::map<std::string, std::string> others = values;
        others.erase(it.first);
        EXPECT_EQ(shell.run(fillCommand(others)), 1);
        EXPECT_NE(shell.printed().find("no value for {{" + it.first + "}}"), std::string::npos) << shell.printed();
    }
}
