#pragma once

namespace bergamotwick {

/// Combines several lambdas into one visitor for std::visit().
template<class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}
