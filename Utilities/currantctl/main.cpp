#include <LibOperator/Commands.h>
#include <LibOperator/Story.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

namespace {

/// Returns the first word of the file.
Core::Result<std::string> readToken(std::string const& name)
{
    std::ifstream file(name);
    std::string token;
    if (!(file >> token))
        return Core::fail(Core::ErrorCode::BadInput, "the token file '" + name + "' can't be read or is empty");
    return token;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

int fail(std::string const& message);

/// Prints what log files say of a request. Exits with 7 when none of them names it.
int tellStory(std::vector<std::string> const& operands)
{
    Operator::Story story(operands.front());
    for (std::size_t n = 1; n < operands.size(); ++n) {
        std::ifstream file(operands[n]);
        if (!file)
            return fail("the log file '" + operands[n] + "' can't be read");
        story.read(file, operands[n]);
    }
    std::vector<Operator::LogLine> lines = story.lines();
    for (Operator::LogLine const& line : lines) {
        std::cout << line.time << " " << line.source << " " << line.event;
        for (std::pair<std::string const, std::string> const& field : line.fields)
            std::cout << " " << field.first << "=" << field.second;
        std::cout << "\n";
    }
    std::cout << story.cause() << "\n";
    return static_cast<int>(lines.empty() ? Operator::ExitCode::NotFound : Operator::ExitCode::Ok);
}

int fail(std::string const& message)
{
    std::cerr << "currantctl: " << message << "\n";
    return static_cast<int>(Operator::ExitCode::BadInput);
}

}

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    Core::Result<Operator::CommandLine> line = Operator::CommandLine::parse(arguments, [](char const* name) { return std::getenv(name); });
    if (!line)
        return fail(line.error().message + " (currantctl --help says more)");
    if (line.value().wantsHelp) {
        std::cout << line.value().help;
        return 0;
    }
    if (line.value().isOffline())
        return tellStory(line.value().operands);
    Core::Result<std::string> token = line.value().tokenFile.empty() ? Core::Result<std::string>(std::string()) : readToken(line.value().tokenFile);
    if (!token)
        return fail(token.error().message);
    boost::asio::io_context context(1);
    std::unique_ptr<Operator::Client> client = Operator::Client::create(context, { line.value().servers, token.value(), line.value().timeout });
    Operator::Commands commands(*client, line.value(), randomNumber, std::cout, std::cerr);
    return static_cast<int>(commands.run());
}
