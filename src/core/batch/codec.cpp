#include "core/batch/codec.h"

#include "core/batch/framing.h"

namespace bergamotwick::batch {

std::string encode(const Submission &value)
{
    return encodeAs(Kind::Submission, value);
}

std::string encode(const Progress &value)
{
    return encodeAs(Kind::Progress, value);
}

std::string encode(const Report &value)
{
    return encodeAs(Kind::Report, value);
}

std::string encode(const Directive &value)
{
    return encodeAs(Kind::Directive, value);
}

Result<Submission> decodeSubmission(std::string_view bytes)
{
    return decodeAs<Submission>(Kind::Submission, bytes);
}

Result<Progress> decodeProgress(std::string_view bytes)
{
    return decodeAs<Progress>(Kind::Progress, bytes);
}

Result<Report> decodeReport(std::string_view bytes)
{
    return decodeAs<Report>(Kind::Report, bytes);
}

Result<Directive> decodeDirective(std::string_view bytes)
{
    return decodeAs<Directive>(Kind::Directive, bytes);
}

}
