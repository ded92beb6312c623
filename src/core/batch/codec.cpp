#include "core/batch/codec.h"

#include "core/batch/framing.h"

namespace bergamotwick::batch {

std::string encode(const Submission &value)
{
    return encodeAs(PayloadKind::Submission, value);
}

std::string encode(const Progress &value)
{
    return encodeAs(PayloadKind::Progress, value);
}

std::string encode(const CrashHistory &value)
{
    return encodeAs(PayloadKind::CrashHistory, value);
}

std::string encode(const Report &value)
{
    return encodeAs(PayloadKind::Report, value);
}

std::string encode(const Directive &value)
{
    return encodeAs(PayloadKind::Directive, value);
}

Result<Submission> decodeSubmission(std::string_view bytes)
{
    return decodeAs<Submission>(PayloadKind::Submission, bytes);
}

Result<Progress> decodeProgress(std::string_view bytes)
{
    return decodeAs<Progress>(PayloadKind::Progress, bytes);
}

Result<CrashHistory> decodeCrashHistory(std::string_view bytes)
{
    return decodeAs<CrashHistory>(PayloadKind::CrashHistory, bytes);
}

Result<Report> decodeReport(std::string_view bytes)
{
    return decodeAs<Report>(PayloadKind::Report, bytes);
}

Result<Directive> decodeDirective(std::string_view bytes)
{
    return decodeAs<Directive>(PayloadKind::Directive, bytes);
}

}
