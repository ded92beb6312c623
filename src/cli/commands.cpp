#include "cli/commands.h"

#include "bergamotwick/bergamotwick.h"
#include "cli/burn_page.h"
#include "cli/client.h"
#include "cli/late.h"

#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;
using StringList = std::vector<std::string>;

constexpr int httpConflict = 409;
constexpr int httpNotFound = 404;

/// Error: a response that does not conform to the API.
struct InvalidResponse
{
};

Result<Json> parse(const HttpResponse &response)
{
    Json json = Json::parse(response.body_, nullptr, false);
    if (json.is_discarded()) {
        return leaf::new_error(InvalidResponse{});
    }
    return json;
}

ExitCode exitCodeFor(int status)
{
    if (status < 300) {
        return ExitCode::Ok;
    }
    return status == httpConflict ? ExitCode::Conflict : ExitCode::Failed;
}

std::string operationName(const CliOptions &options)
{
    if (!options.operation_.empty()) {
        return options.operation_;
    }
    std::random_device device;
    return "op-" + std::to_string((std::uint64_t{device()} << 32U) | device());
}

void printChanges(const std::vector<SettingChange> &changes, bool json)
{
    Json out = Json::array();
    for (const SettingChange &change : changes) {
        if (json) {
            out.push_back({{"path", change.path_}, {"before", change.before_}, {"after", change.after_}});
        } else {
            const char mark = change.before_.empty() ? '+' : change.after_.empty() ? '-' : '~';
            std::cout << mark << ' ' << change.path_ << ": " << change.before_ << (change.before_.empty() || change.after_.empty() ? "" : " -> ")
                      << change.after_ << '\n';
        }
    }
    if (json) {
        std::cout << out.dump() << '\n';
    }
}

// Configuration

Result<SettingsTree> readValidated(const std::string &folder)
{
    BOOST_LEAF_AUTO(tree, SettingsTree::readFolder(folder));
    BOOST_LEAF_CHECK(Config::fromTree(tree));
    return tree;
}

/// Fetches the active configuration and its revision.
Result<Json> fetchActiveConfig(const EntryClient &client)
{
    BOOST_LEAF_AUTO(response, client.get("/v1/config"));
    BOOST_LEAF_AUTO(json, parse(response));
    if (!json.contains("revision") || !json["revision"].is_number_unsigned() || !json.contains("settings")) {
        return leaf::new_error(InvalidResponse{});
    }
    return json;
}

std::string revisionOf(const Json &activeConfig)
{
    return std::to_string(activeConfig["revision"].get<std::uint64_t>());
}

Result<SettingsTree> settingsOf(const Json &activeConfig)
{
    return SettingsTree::fromJson(activeConfig["settings"].dump());
}

Result<ExitCode> check(const CliOptions &options, const StringList &arguments)
{
    BOOST_LEAF_AUTO(tree, readValidated(arguments[1]));
    if (options.json_) {
        std::cout << Json{{"ok", true}, {"settings", tree.all().size()}}.dump() << '\n';
    } else {
        std::cout << "ok: " << tree.all().size() << " settings\n";
    }
    return ExitCode::Ok;
}

Result<ExitCode> diff(const CliOptions &options, const StringList &arguments)
{
    BOOST_LEAF_AUTO(tree, readValidated(arguments[1]));
    BOOST_LEAF_AUTO(activeConfig, fetchActiveConfig(EntryClient(options.server_)));
    BOOST_LEAF_AUTO(settings, settingsOf(activeConfig));
    const auto changes = settings.diff(tree);
    printChanges(changes, options.json_);
    return changes.empty() ? ExitCode::Ok : ExitCode::Differs;
}

Result<ExitCode> apply(const CliOptions &options, const StringList &arguments)
{
    const EntryClient client(options.server_);
    BOOST_LEAF_AUTO(tree, readValidated(arguments[1]));
    BOOST_LEAF_AUTO(before, fetchActiveConfig(client));
    const std::string path = "/v1/config?base=" + revisionOf(before) + "&operation=" + operationName(options);
    BOOST_LEAF_AUTO(response, client.put(path, tree.toJson()));
    BOOST_LEAF_AUTO(json, parse(response));
    if (options.json_) {
        std::cout << json.dump() << '\n';
    } else if (response.status_ < 300) {
        std::cout << "in force from revision " << json.value("revision", 0) << '\n';
    } else {
        std::cerr << "not applied: " << json.value("result", json.value("reason", "")) << '\n';
    }
    if (response.status_ == httpConflict) {
        BOOST_LEAF_AUTO(after, fetchActiveConfig(client));
        BOOST_LEAF_AUTO(settingsBefore, settingsOf(before));
        BOOST_LEAF_AUTO(settingsAfter, settingsOf(after));
        std::cerr << "changed meanwhile, up to revision " << revisionOf(after) << ":\n";
        printChanges(settingsBefore.diff(settingsAfter), options.json_);
    }
    return exitCodeFor(response.status_);
}

Result<ExitCode> explain(const CliOptions &options, const StringList &arguments)
{
    BOOST_LEAF_AUTO(tree, SettingsTree::readFolder(arguments.size() > 2 ? arguments[2] : "."));
    const Setting *setting = tree.find(arguments[1]);
    if (!setting) {
        std::cerr << arguments[1] << ": not set\n";
        return ExitCode::Failed;
    }
    Json overridden = Json::array();
    for (const Source &source : setting->overridden_) {
        overridden.push_back(source.str());
    }
    if (options.json_) {
        std::cout << Json{{"path", arguments[1]}, {"value", setting->value_}, {"from", setting->source_.str()}, {"overrides", overridden}}.dump() << '\n';
        return ExitCode::Ok;
    }
    std::cout << arguments[1] << " = " << setting->value_ << "\n  from " << setting->source_.str() << '\n';
    for (const Source &source : setting->overridden_) {
        std::cout << "  overrides " << source.str() << '\n';
    }
    return ExitCode::Ok;
}

Result<ExitCode> dataCentre(const CliOptions &options, const StringList &arguments)
{
    if (arguments[1] != "out" && arguments[1] != "in") {
        return ExitCode::Usage;
    }
    const std::string path = "/v1/datacentres/" + arguments[2] + "?state=" + arguments[1] + "&operation=" + operationName(options);
    BOOST_LEAF_AUTO(response, EntryClient(options.server_).put(path, {}));
    BOOST_LEAF_AUTO(json, parse(response));
    if (options.json_) {
        std::cout << json.dump() << '\n';
    } else {
        std::cout << arguments[2] << ' ' << arguments[1] << ": "
                  << (response.status_ < 300 ? "revision " + std::to_string(json.value("revision", 0)) : json.value("result", "")) << '\n';
    }
    return exitCodeFor(response.status_);
}

// Jobs

std::string jobBody(const std::string &argument)
{
    std::ifstream file(argument);
    if (!file.is_open()) {
        return argument;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void printJob(const Json &job)
{
    std::cout << std::left << std::setw(28) << job.value("id", "") << std::setw(12) << job.value("state", "") << std::setw(12) << job.value("workspace", "")
              << std::setw(12) << job.value("datacentre", "") << job.value("tasks", 0) << " tasks, " << job.value("reason", "") << '\n';
}

Result<ExitCode> submitJob(const CliOptions &options, const StringList &arguments)
{
    BOOST_LEAF_AUTO(response, EntryClient(options.server_).post("/v1/jobs", jobBody(arguments[2])));
    BOOST_LEAF_AUTO(json, parse(response));
    if (options.json_) {
        std::cout << json.dump() << '\n';
    } else {
        std::cout << json.value("outcome", "") << ' ' << json.value("id", "");
        std::cout << (response.status_ < 300 ? "" : " " + json.value("reason", "") + " " + json.value("field", "")) << '\n';
    }
    return exitCodeFor(response.status_);
}

Result<ExitCode> showJob(const CliOptions &options, const StringList &arguments)
{
    BOOST_LEAF_AUTO(response, EntryClient(options.server_).get("/v1/jobs/" + arguments[2]));
    BOOST_LEAF_AUTO(json, parse(response));
    if (response.status_ == httpNotFound) {
        std::cerr << arguments[2] << ": no such job\n";
        return ExitCode::Failed;
    }
    if (options.json_) {
        std::cout << json.dump() << '\n';
    } else {
        printJob(json);
    }
    return ExitCode::Ok;
}

Result<ExitCode> cancelJob(const CliOptions &options, const StringList &arguments)
{
    BOOST_LEAF_AUTO(response, EntryClient(options.server_).remove("/v1/jobs/" + arguments[2]));
    BOOST_LEAF_AUTO(json, parse(response));
    std::cout << (options.json_ ? json.dump() : json.value("outcome", "") + " " + json.value("reason", "")) << '\n';
    return exitCodeFor(response.status_);
}

Result<ExitCode> listJobs(const CliOptions &options, const StringList &)
{
    BOOST_LEAF_AUTO(response, EntryClient(options.server_).get("/v1/jobs"));
    BOOST_LEAF_AUTO(json, parse(response));
    if (options.json_) {
        std::cout << json.dump() << '\n';
        return ExitCode::Ok;
    }
    for (const Json &job : json) {
        printJob(job);
    }
    return ExitCode::Ok;
}

// Reports

Result<ExitCode> status(const CliOptions &options, const StringList &)
{
    BOOST_LEAF_AUTO(response, EntryClient(options.server_).get("/v1/status"));
    BOOST_LEAF_AUTO(json, parse(response));
    if (options.json_) {
        std::cout << json.dump() << '\n';
        return ExitCode::Ok;
    }
    std::cout << "entry " << json.value("entry", "") << " of region " << json.value("region", "") << ", revision " << json.value("revision", 0) << ", owner "
              << json.value("owner", "") << ", store read " << json.value("store_read_ms_ago", 0L) << " ms ago\n";
    for (const auto &[name, dataCentre] : json["datacentres"].items()) {
        std::cout << "  datacentre " << std::left << std::setw(12) << name << (dataCentre.value("in_service", false) ? "in " : "out") << "  workers "
                  << dataCentre.value("workers_reporting", 0) << "/" << dataCentre.value("workers_declared", 0) << ", free accelerators "
                  << dataCentre.value("accelerators_free", 0) << ", largest free block " << dataCentre.value("largest_free_block", 0) << '\n';
    }
    for (const auto &[name, executor] : json["executors"].items()) {
        std::cout << "  executor " << std::left << std::setw(14) << name << executor.value("service", "") << " slots " << executor.value("in_use", 0) << "/"
                  << executor.value("slots", 0) << (executor.value("leaving", false) ? ", leaving" : "") << '\n';
    }
    std::cout << "  jobs: " << json.value("jobs_queued", 0) << " queued, " << json.value("jobs_live", 0) << " live\n";
    return ExitCode::Ok;
}

/// Merges the burn lines of one entry into \p all. Rates are averaged, weighted by the number of requests.
void mergeBurn(Json &all, const Json &more)
{
    for (std::size_t i = 0; i < more.size(); ++i) {
        if (i >= all.size()) {
            all.push_back(more[i]);
            continue;
        }
        const double before = all[i]["total"];
        const double added = more[i]["total"];
        const double total = before + added;
        const auto weighted = [&](const char *name) { return (all[i][name].get<double>() * before + more[i][name].get<double>() * added) / total; };
        if (total > 0) {
            for (const char *name : {"burn_short", "burn_long", "budget_left"}) {
                all[i][name] = weighted(name);
            }
        }
        all[i]["good"] = all[i]["good"].get<std::int64_t>() + more[i]["good"].get<std::int64_t>();
        all[i]["total"] = all[i]["total"].get<std::int64_t>() + more[i]["total"].get<std::int64_t>();
    }
}

Result<Json> collectBurn(const CliOptions &options)
{
    BOOST_LEAF_AUTO(statusResponse, EntryClient(options.server_).get("/v1/status"));
    BOOST_LEAF_AUTO(statusJson, parse(statusResponse));
    Json all = Json::array();
    for (const auto &[name, address] : statusJson["entries"].items()) {
        BOOST_LEAF_AUTO(response, EntryClient(address.get<std::string>()).get("/v1/burn"));
        BOOST_LEAF_AUTO(lines, parse(response));
        mergeBurn(all, lines);
    }
    return all;
}

Result<ExitCode> reportBurn(const CliOptions &options, const StringList &)
{
    BOOST_LEAF_AUTO(lines, collectBurn(options));
    if (!options.html_.empty()) {
        std::ofstream(options.html_) << burnPage(lines.dump());
    }
    std::cout << (options.json_ ? lines.dump() + "\n" : burnTable(lines.dump()));
    return ExitCode::Ok;
}

Result<ExitCode> reportLate(const CliOptions &options, const StringList &arguments)
{
    BOOST_LEAF_AUTO(report, readLateness(StringList(arguments.begin() + 2, arguments.end())));
    printLateness(report, options.json_);
    return ExitCode::Ok;
}

/// A command: its name and the number of arguments that it takes.
struct Command
{
    StringList name_;
    std::size_t minArguments_;
    std::size_t maxArguments_;
    Result<ExitCode> (*run_)(const CliOptions &options, const StringList &arguments);
};

/// Maximum number of log files in one report. Larger sets have to be merged beforehand.
constexpr std::size_t maxLogFiles = 1'000;

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {{"check"}, 1, 1, check},
        {{"diff"}, 1, 1, diff},
        {{"apply"}, 1, 1, apply},
        {{"explain"}, 1, 2, explain},
        {{"datacentre"}, 2, 2, dataCentre},
        {{"status"}, 0, 0, status},
        {{"job", "submit"}, 1, 1, submitJob},
        {{"job", "show"}, 1, 1, showJob},
        {{"job", "cancel"}, 1, 1, cancelJob},
        {{"job", "list"}, 0, 0, listJobs},
        {{"report", "burn"}, 0, 0, reportBurn},
        {{"report", "late"}, 1, maxLogFiles, reportLate},
    };
    return all;
}

const Command *findCommand(const StringList &arguments)
{
    for (const Command &command : commands()) {
        const std::size_t nameLength = command.name_.size();
        if (arguments.size() < nameLength + command.minArguments_ || arguments.size() > nameLength + command.maxArguments_) {
            continue;
        }
        if (std::equal(command.name_.begin(), command.name_.end(), arguments.begin())) {
            return &command;
        }
    }
    return nullptr;
}

void printError(const CliOptions &options, const ConfigError &error)
{
    if (options.json_) {
        const Json line = {{"error", toString(error.code_)}, {"where", error.location_.str()}, {"subject", error.subject_}, {"hint", error.hint_}};
        std::cout << line.dump() << '\n';
    } else {
        std::cerr << error.str() << '\n';
    }
}

}

ExitCode runCommand(const CliOptions &options)
{
    const Command *command = findCommand(options.arguments_);
    if (!command) {
        return ExitCode::Usage;
    }
    return leaf::try_handle_all([&] { return command->run_(options, options.arguments_); },
                                [&](const ConfigError &error) {
                                    printError(options, error);
                                    return ExitCode::Usage;
                                },
                                [&](const EntryUnreachable &unreachable) {
                                    std::cerr << "no response from an entry at " << unreachable.address_ << '\n';
                                    return ExitCode::Unreachable;
                                },
                                [] {
                                    std::cerr << "the entry sent an unexpected response\n";
                                    return ExitCode::Failed;
                                });
}

}
