#include "cli/burn_page.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;

constexpr double barWidth = 240;
constexpr double pageBurnRate = 14.4; // consumes two days' share of a monthly error budget in one hour
constexpr double watchBurnRate = 1;

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char character : text) {
        switch (character) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += character;
        }
    }
    return out;
}

const char *alertState(double shortWindowBurn, double longWindowBurn)
{
    if (shortWindowBurn >= pageBurnRate && longWindowBurn >= pageBurnRate) {
        return "page";
    }
    return shortWindowBurn > watchBurnRate && longWindowBurn > watchBurnRate ? "watch" : "ok";
}

std::string percent(double share)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << share * 100 << '%';
    return out.str();
}

}

std::string burnTable(const std::string &json)
{
    const Json lines = Json::parse(json);
    std::ostringstream out;
    out << std::left << std::setw(16) << "WORKSPACE" << std::setw(16) << "SERVICE" << std::right << std::setw(10) << "WITHIN" << std::setw(9) << "TARGET"
        << std::setw(9) << "GOOD" << std::setw(9) << "TOTAL" << std::setw(10) << "BURN 5m" << std::setw(10) << "BURN 1h" << std::setw(13) << "BUDGET LEFT"
        << "  STATE\n";
    for (const Json &line : lines) {
        out << std::left << std::setw(16) << line["workspace"].get<std::string>() << std::setw(16) << line["service"].get<std::string>() << std::right
            << std::setw(8) << line["within_ms"].get<int>() << "ms" << std::setw(9) << percent(line["ratio"]) << std::setw(9) << line["good"].get<long>()
            << std::setw(9) << line["total"].get<long>() << std::fixed << std::setprecision(2) << std::setw(10) << line["burn_short"].get<double>()
            << std::setw(10) << line["burn_long"].get<double>() << std::setw(13) << percent(line["budget_left"]) << "  "
            << alertState(line["burn_short"], line["burn_long"]) << '\n';
    }
    return out.str();
}

std::string burnPage(const std::string &json)
{
    const Json lines = Json::parse(json);
    std::ostringstream out;
    out << "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>"
           "body{font:15px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}td,th{padding:.4em .9em;text-align:right;"
           "border-bottom:1px solid #ddd}td:first-child,td:nth-child(2),th:first-child,th:nth-child(2){text-align:left}"
           ".page{color:#b00020;font-weight:bold}.watch{color:#a65c00}.ok{color:#1b6e3c}</style></head><body><h1>Service-level burn</h1>"
           "<table><tr><th>Workspace</th><th>Service</th><th>Objective</th><th>Good / total, 1 h</th><th>Burn 5 min</th><th>Burn 1 h</th>"
           "<th>Error budget left today</th><th>State</th></tr>";
    for (const Json &line : lines) {
        const double left = line["budget_left"];
        const double width = std::clamp(left, 0.0, 1.0) * barWidth;
        const char *state = alertState(line["burn_short"], line["burn_long"]);
        out << "<tr><td>" << escaped(line["workspace"]) << "</td><td>" << escaped(line["service"]) << "</td><td>" << percent(line["ratio"]) << " within "
            << line["within_ms"].get<int>() << " ms</td><td>" << line["good"].get<long>() << " / " << line["total"].get<long>() << "</td><td>" << std::fixed
            << std::setprecision(2) << line["burn_short"].get<double>() << "</td><td>" << line["burn_long"].get<double>() << "</td><td><svg width=\""
            << barWidth << "\" height=\"14\" role=\"img\" aria-label=\"" << percent(left) << "\"><rect width=\"" << barWidth
            << "\" height=\"14\" fill=\"#eee\"/><rect width=\"" << width << "\" height=\"14\" fill=\"" << (left > 0.25 ? "#1b6e3c" : "#b00020") << "\"/></svg> "
            << percent(left) << "</td><td class=\"" << state << "\">" << state << "</td></tr>";
    }
    out << "</table></body></html>\n";
    return out.str();
}

}
